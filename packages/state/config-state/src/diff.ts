/** The difference between two configurations, as an operator sees it and as a change carries it. */
import * as util from 'node:util'
import type * as types from '@eelgrasswind/types'
import * as change from './change.js'
import * as config from './config.js'

/** One value that differs. */
export type ConfigDifference =
  | { readonly type: 'added', readonly section: config.Section, readonly id: string, readonly to: unknown }
  | { readonly type: 'changed', readonly section: config.Section, readonly id: string, readonly from: unknown, readonly to: unknown }
  | { readonly type: 'removed', readonly section: config.Section, readonly id: string, readonly from: unknown }

type Values = ReadonlyMap<string, unknown>

function valuesOf (cfg: config.Config, section: config.Section): Values {
  return section === 'limits' ? new Map(Object.entries(cfg.limits)) : cfg[section]
}

function differencesOf (section: config.Section, from: Values, to: Values): ConfigDifference[] {
  const found: ConfigDifference[] = []
  for (const [id, value] of to) {
    const before = from.get(id)
    if (before === undefined) found.push({ type: 'added', section, id, to: value })
    else if (!util.isDeepStrictEqual(before, value)) found.push({ type: 'changed', section, id, from: before, to: value })
  }
  for (const [id, value] of from) {
    if (!to.has(id)) found.push({ type: 'removed', section, id, from: value })
  }
  return found
}

/** Every value that differs, by section and id. `from` is null before the first configuration. */
export function listDifferences (from: config.Config | null, to: config.Config): ConfigDifference[] {
  return config.sections.flatMap((section) =>
    differencesOf(section, from === null ? new Map() : valuesOf(from, section), valuesOf(to, section)))
}

/** What a change that leads from one configuration to another puts and deletes. */
export interface ConfigDiff {
  readonly puts: change.ConfigPuts
  readonly deletes: change.ConfigDeletes
}

/** The smallest change from one configuration to another; from null it puts every value. */
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

/** Who made a change, when, and under which id. */
export interface ChangeAuthor {
  readonly id: change.ChangeId
  readonly by: string
  readonly at: types.EpochMs
}

/** The record of a change to the version in force. */
export function makeChange (diff: ConfigDiff, basedOn: types.ConfigVersion, author: ChangeAuthor): change.ConfigChange {
  return { format: change.configFormat, basedOn, ...diff, ...author }
}
