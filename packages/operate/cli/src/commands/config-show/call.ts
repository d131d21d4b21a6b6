/** Prints the version in force. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as openConfig from '../../platform/open-config.js'

export function showConfig (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService): Promise<outcome.CliResult> {
  return openConfig.withConfigStream<outcome.Outcome>(settings, timers, async ({ state }) => {
    if (state.version === 0) return errors.fail({ tag: 'notFound', message: 'no configuration has been published yet' })
    const document = configState.toDocument(state.config)
    return errors.ok({ text: `// version ${state.version}\n${JSON.stringify(document, null, 2)}`, json: { version: state.version, document } })
  })
}
