/** A configuration with the puts and deletes of a change applied. */
import * as errors from '@eelgrasswind/errors'
import type * as change from './change.js'
import * as check from './check.js'
import * as config from './config.js'

type Values = ReadonlyMap<string, unknown>

/** A section after a change; the same map where the change does not touch it. */
function changedSection (values: Values, section: config.KeyedSection, record: change.ConfigChange, found: check.ConfigError[]): Values {
  const puts = Object.entries(record.puts[section] ?? {})
  const deletes: readonly string[] = record.deletes[section] ?? []
  if (puts.length === 0 && deletes.length === 0) return values
  const changed = new Map(values)
  for (const id of deletes) {
    if (changed.delete(id)) continue
    found.push({ kind: 'wrongValue', path: [section, id], expected: 'an id that exists, to delete it', found: 'no such id' })
  }
  for (const [id, value] of puts) {
    if (deletes.includes(id)) found.push({ kind: 'wrongValue', path: [section, id], expected: 'either a put or a delete', found: 'both' })
    changed.set(id, value)
  }
  return changed
}

/** The configuration after a change, or every error that it would have. */
export function applyPuts (cfg: config.Config, record: change.ConfigChange): errors.Result<config.Config, readonly check.ConfigError[]> {
  const found: check.ConfigError[] = []
  const keyed = config.keyedSections.map((section) => [section, changedSection(cfg[section], section, record, found)] as const)
  const limits = record.puts.limits === undefined ? cfg.limits : { ...cfg.limits, ...record.puts.limits }
  const changed = { ...Object.fromEntries(keyed), limits } as unknown as config.Config
  const touched = config.sections.filter((section) => changed[section] !== cfg[section])
  found.push(...check.checkConfig(changed, touched))
  return found.length === 0 ? errors.ok(changed) : errors.fail(found)
}
