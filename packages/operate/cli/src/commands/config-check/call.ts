/** Checks files and reports the errors of all of them. */
import * as errors from '@eelgrasswind/errors'
import type * as parseSettings from '@eelgrasswind/parse-settings'
import * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import type * as check from './check.js'

export function checkFiles (req: check.CheckRequest): outcome.CliResult {
  const found: parseSettings.SettingsError[] = []
  for (const file of req.files) {
    const checked = operatorSettings.readSettings(file, req.schema)
    if (checked.ok) continue
    if (checked.failure.tag !== 'invalidSettings') return checked
    found.push(...checked.failure.errors)
  }
  if (found.length > 0) return errors.fail({ tag: 'invalidSettings', errors: found })
  return errors.ok({ text: req.files.map((file) => `${file}: ok`).join('\n'), json: { files: req.files, ok: true } })
}
