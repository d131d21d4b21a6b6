/** Compares a configuration with the version in force. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import * as formatDifference from '../../base/format-difference.js'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as openConfig from '../../platform/open-config.js'

export function showDifferences (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, config: configState.Config): Promise<outcome.CliResult> {
  return openConfig.withConfigStream(settings, timers, async (stream) => {
    const { version } = stream.state
    const differences = configState.listDifferences(openConfig.configInForce(stream.state), config)
    const text = differences.length === 0 ? `no difference from version ${version}` : `against version ${version}:\n${formatDifference.formatDifferences(differences)}`
    return errors.ok({ text, json: { version, differences } })
  })
}
