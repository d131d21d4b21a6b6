/** The configuration in force, with its sections as maps by branded id. */
import type * as types from '@eelgrasswind/types'
import * as schema from './schema.js'

/** Names of the sections that are keyed by id. */
export const keyedSections = ['hosts', 'models', 'services', 'clients', 'kinds'] as const
export type KeyedSection = typeof keyedSections[number]
/** Names of all sections, in the order in which they are shown. */
export const sections = [...keyedSections, 'limits'] as const
export type Section = typeof sections[number]

/** A configuration; each section but `limits` is a map by id. */
export interface Config {
  readonly hosts: ReadonlyMap<types.HostId, schema.Host>
  readonly models: ReadonlyMap<types.ModelId, schema.Model>
  readonly services: ReadonlyMap<types.ServiceId, schema.Service>
  readonly clients: ReadonlyMap<types.ClientId, schema.Client>
  readonly kinds: ReadonlyMap<types.KindId, schema.Kind>
  readonly limits: schema.Limits
}

function toMap<Id extends string, Value> (values: Readonly<Record<Id, Value>>): ReadonlyMap<Id, Value> {
  return new Map(Object.entries(values) as [Id, Value][])
}

function toRecord<Id extends string, Value> (values: ReadonlyMap<Id, Value>): Record<Id, Value> {
  return Object.fromEntries(values) as Record<Id, Value>
}

/** Converts a valid document to a configuration. */
export function fromDocument (document: schema.ConfigDocument): Config {
  return {
    hosts: toMap(document.hosts),
    models: toMap(document.models),
    services: toMap(document.services),
    clients: toMap(document.clients),
    kinds: toMap(document.kinds),
    limits: document.limits
  }
}

/** Converts a configuration to a document in which every default is written out. */
export function toDocument (config: Config): schema.ConfigDocument {
  return {
    hosts: toRecord(config.hosts),
    models: toRecord(config.models),
    services: toRecord(config.services),
    clients: toRecord(config.clients),
    kinds: toRecord(config.kinds),
    limits: config.limits
  }
}

/** The configuration before the first change: no hosts, no clients, default limits. */
export const emptyConfig: Config = fromDocument(schema.documentShape.parse({}))
