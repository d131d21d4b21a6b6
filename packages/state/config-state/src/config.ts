/** The configuration in force, with its sections as maps by branded id. */
import type * as types from '@eelgrasswind/types'
import * as schema from './schema.js'

/** Names of the sections that are keyed by id. */
export const keyedSections = ['hosts', 'models', 'services', 'clients', 'kinds'] as const
export type KeyedSection = typeof keyedSections[number]
/** Names of all sections, in the order in which they are shown. */
export const sections = [...keyedSections, 'limits'] as const
export type Section = typeof sections[number]

export interface Config {
  readonly hosts: ReadonlyMap<types.HostId, schema.Host>
  readonly models: ReadonlyMap<types.ModelId, schema.Model>
  readonly services: ReadonlyMap<types.ServiceId, schema.Service>
  readonly clients: ReadonlyMap<types.ClientId, schema.Client>
  readonly kinds: ReadonlyMap<types.KindId, schema.Kind>
  readonly limits: schema.Limits
}

function mapOf<Id extends string, Value> (values: Readonly<Record<Id, Value>>): ReadonlyMap<Id, Value> {
  return new Map(Object.entries(values) as [Id, Value][])
}

function recordOf<Id extends string, Value> (values: ReadonlyMap<Id, Value>): Record<Id, Value> {
  return Object.fromEntries(values) as Record<Id, Value>
}

/** The configuration that a checked document stands for. */
export function fromDocument (document: schema.ConfigDocument): Config {
  return {
    hosts: mapOf(document.hosts),
    models: mapOf(document.models),
    services: mapOf(document.services),
    clients: mapOf(document.clients),
    kinds: mapOf(document.kinds),
    limits: document.limits
  }
}

/** The document of a configuration, with every default written out. */
export function toDocument (config: Config): schema.ConfigDocument {
  return {
    hosts: recordOf(config.hosts),
    models: recordOf(config.models),
    services: recordOf(config.services),
    clients: recordOf(config.clients),
    kinds: recordOf(config.kinds),
    limits: config.limits
  }
}

/** What is in force before the first change: no host, no client, and the default limits. */
export const emptyConfig: Config = fromDocument(schema.documentShape.parse({}))
