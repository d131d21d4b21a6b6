/** What `config publish` was asked for. */
import * as os from 'node:os'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'

export interface PublishRequest {
  readonly settings: operatorSettings.OperatorSettings
  readonly config: configState.Config
  /** Version that must be in force; any where left out. */
  readonly basedOn: number | undefined
  readonly by: string
  readonly dryRun: boolean
  readonly wait: boolean
}

export interface PublishOptions {
  readonly basedOn: string | undefined
  readonly by: string | undefined
  readonly dryRun: boolean
  readonly wait: boolean
}

const maxNameLength = 128

export function checkRequest (settings: operatorSettings.OperatorSettings, config: configState.Config, options: PublishOptions): errors.Result<PublishRequest, outcome.CliFailure> {
  const { basedOn, dryRun, wait } = options
  if (basedOn !== undefined && !/^\d{1,15}$/.test(basedOn)) return errors.fail({ tag: 'usage', message: `--based-on: expected a version, found ${JSON.stringify(basedOn)}` })
  const by = options.by ?? settings.name ?? os.userInfo().username
  if (by === '' || by.length > maxNameLength) return errors.fail({ tag: 'usage', message: `--by: expected 1 to ${maxNameLength} characters` })
  if (wait) {
    const address = operatorSettings.requireAddress(settings, 'hostList')
    if (!address.ok) return address
  }
  return errors.ok({ settings, config, basedOn: basedOn === undefined ? undefined : Number(basedOn), by, dryRun, wait })
}
