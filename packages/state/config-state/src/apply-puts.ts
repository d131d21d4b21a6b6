/** Applies the puts and deletes of a change to a configuration. */
import * as errors from '@eelgrasswind/errors'
import type * as change from './change.js'
import * as check from './check.js'
import * as config from './config.js'

type SectionValues = ReadonlyMap<string, unknown>

/** Returns a section after a change; the same map if the change does not touch it. Adds errors to `configErrors`. */
function applyToSection (values: SectionValues, section: config.KeyedSection, configChange: change.ConfigChange, configErrors: check.ConfigError[]): SectionValues {
  const puts = Object.entries(configChange.puts[section] ?? {})
  const deletes: readonly string[] = configChange.deletes[section] ?? []
  if (puts.length === 0 && deletes.length === 0) return values
  const changedValues = new Map(values)
  for (const id of deletes) {
    if (changedValues.delete(id)) continue
    configErrors.push({ kind: 'wrongValue', path: [section, id], expected: 'an existing id to delete', found: 'no such id' })
  }
  for (const [id, value] of puts) {
    if (deletes.includes(id)) configErrors.push({ kind: 'wrongValue', path: [section, id], expected: 'either a put or a delete', found: 'both' })
    changedValues.set(id, value)
  }
  return changedValues
}

/** Returns the configuration after a change, or every error that it would have. */
export function applyPuts (cfg: config.Config, configChange: change.ConfigChange): errors.Result<config.Config, readonly check.ConfigError[]> {
  const configErrors: check.ConfigError[] = []
  const keyedEntries = config.keyedSections.map((section) => [section, applyToSection(cfg[section], section, configChange, configErrors)] as const)
  const limits = configChange.puts.limits === undefined ? cfg.limits : { ...cfg.limits, ...configChange.puts.limits }
  const changedConfig = { ...Object.fromEntries(keyedEntries), limits } as unknown as config.Config
  const changedSections = config.sections.filter((section) => changedConfig[section] !== cfg[section])
  configErrors.push(...check.checkConfig(changedConfig, changedSections))
  return configErrors.length === 0 ? errors.ok(changedConfig) : errors.fail(configErrors)
}
