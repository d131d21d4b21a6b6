/** A file that holds the whole published configuration. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as operatorSettings from './operator-settings.js'
import type * as outcome from './outcome.js'

export function readConfigFile (file: string): errors.Result<configState.Config, outcome.CliFailure> {
  const document = operatorSettings.readSettings(file, configState.documentSchema)
  return document.ok ? errors.ok(configState.fromDocument(document.value)) : document
}
