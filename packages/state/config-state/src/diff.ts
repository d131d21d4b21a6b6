/** Differences between two configurations, as a list for operators and as a change record. */
import * as util from 'node:util'
import type * as types from '@eelgrasswind/types'
import * as change from './change.js'
import * as config from './config.js'

/** One differing value. */
export type ConfigDifference =
  | { readonly type: 'added', readonly section: config.Section, readonly id: string, readonly to: unknown }
  | { readonly type: 'changed', readonly section: config.Section, readonly id: string, readonly from: unknown, readonly to: unknown }
  | { readonly type: 'removed', readonly section: config.Section, readonly id: string, readonly from: unknown }

type SectionValues = ReadonlyMap<string, unknown>

function getValues (cfg: config.Config, section: config.Section): SectionValues {
  return section === 'limits' ? new Map(Object.entries(cfg.limits)) : cfg[section]
}

function listSectionDifferences (section: config.Section, from: SectionValues, to: SectionValues): ConfigDifference[] {
  const differences: ConfigDifference[] = []
  for (const [id, value] of to) {
    const oldValue = from.get(id)
    if (oldValue === undefined) differences.push({ type: 'added', section, id, to: value })
    else if (!util.isDeepStrictEqual(oldValue, value)) differences.push({ type: 'changed', section, id, from: oldValue, to: value })
  }
  for (const [id, value] of from) {
    if (!to.has(id)) differences.push({ type: 'removed', section, id, from: value })
  }
  return differences
}

/** Lists every differing value by section and id. `from` is null if there was no configuration before. */
export function listDifferences (from: config.Config | null, to: config.Config): ConfigDifference[] {
  return config.sections.flatMap((section) =>
    listSectionDifferences(section, from === null ? new Map() : getValues(from, section), getValues(to, section)))
}

/** The puts and deletes that turn one configuration into another. */
export interface ConfigDiff {
  readonly puts: change.ConfigPuts
  readonly deletes: change.ConfigDeletes
}

/** Returns the smallest change from one configuration to another; from null it puts every value. */
export function diffConfig (from: config.Config | null, to: config.Config): ConfigDiff {
  const puts: Record<string, Record<string, unknown>> = {}
  const deletes: Record<string, string[]> = {}
  for (const difference of listDifferences(from, to)) {
    const { section, id } = difference
    if (difference.type === 'removed') (deletes[section] ??= []).push(id)
    else (puts[section] ??= {})[id] = difference.to
  }
  return { puts: puts as change.ConfigPuts, deletes: deletes as change.ConfigDeletes }
}

/** Author, time and id of a change. */
export interface ChangeAuthor {
  readonly id: change.ChangeId
  readonly by: string
  readonly at: types.EpochMs
}

/** Creates the record of a change to the version in force. */
export function makeChange (diff: ConfigDiff, basedOn: types.ConfigVersion, author: ChangeAuthor): change.ConfigChange {
  return { format: change.configFormat, basedOn, ...diff, ...author }
}
