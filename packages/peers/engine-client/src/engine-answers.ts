/** Parses and validates an engine's answers to control requests. */
import * as types from '@eelgrasswind/types'
import type * as engineClient from './engine-client.js'

type JsonObject = Readonly<Record<string, unknown>>

/** Converts a JSON object to a value; undefined if the object is invalid. */
export type Parser<T> = (object: JsonObject) => T | undefined

function toObject (value: unknown): JsonObject {
  return typeof value === 'object' && value !== null ? value as JsonObject : {}
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

/** Parses a JSON body; undefined if it is not JSON or the parser rejects it. */
export function parseBody<T> (body: Buffer, parse: Parser<T>): T | undefined {
  try {
    return parse(toObject(JSON.parse(body.toString('utf8'))))
  } catch {
    return undefined
  }
}

/** Parses every item of a list; undefined if it is no list or one item is invalid. */
function parseList<T> (value: unknown, parse: Parser<T>): T[] | undefined {
  if (!Array.isArray(value)) return undefined
  const list = value.map((item) => parse(toObject(item)))
  return list.every((item) => item !== undefined) ? list as T[] : undefined
}

export function parseLoad (upstream: types.UpstreamId): Parser<types.UpstreamLoad> {
  return ({ running, waiting, cacheTokens, cacheCapacity, at }) => {
    if (!isCount(running) || !isCount(waiting) || !isCount(cacheTokens) || !isCount(cacheCapacity) || !isCount(at)) return undefined
    return { upstream, running, waiting, cacheTokens, cacheCapacity, at: at as types.EpochMs }
  }
}

function parseSession ({ session, tokens, held }: JsonObject): (engineClient.HeldSession & { readonly held: boolean }) | undefined {
  if (!types.isId(session) || !isCount(tokens) || typeof held !== 'boolean') return undefined
  return { session: session as types.ProgramId, tokens, held }
}

/** Returns only the held sessions, without the flag. */
export function parseHeldSessions ({ sessions }: JsonObject): readonly engineClient.HeldSession[] | undefined {
  const parsedSessions = parseList(sessions, parseSession)
  return parsedSessions?.filter((parsed) => parsed.held).map(({ session, tokens }) => ({ session, tokens }))
}

function parseCacheEvent ({ seq, type, session, tokens }: JsonObject): engineClient.CacheEvent | undefined {
  if (!isCount(seq) || (type !== 'stored' && type !== 'evicted') || typeof session !== 'string' || !isCount(tokens)) return undefined
  return { seq, type, session: session as types.ProgramId, tokens }
}

export function parseCacheEvents ({ events }: JsonObject): readonly engineClient.CacheEvent[] | undefined {
  return parseList(events, parseCacheEvent)
}

function parseModel ({ model, version }: JsonObject): { model: types.ModelId, version: string } | undefined {
  return typeof model === 'string' && typeof version === 'string' ? { model: model as types.ModelId, version } : undefined
}

export function parseState ({ models, adapters, role, fencing }: JsonObject): engineClient.EngineState | undefined {
  const loadedModels = parseList(models, parseModel)
  const hasStringAdapters = Array.isArray(adapters) && adapters.every((adapter) => typeof adapter === 'string')
  if (loadedModels === undefined || !hasStringAdapters || typeof role !== 'string' || !isCount(fencing)) return undefined
  return { models: loadedModels, adapters: adapters as string[], role, fencing }
}

function parseCacheLink ({ digest, tokens }: JsonObject): engineClient.CacheLink | undefined {
  return typeof digest === 'string' && isCount(tokens) ? { digest, tokens } : undefined
}

export function parseCacheExport ({ session, chain }: JsonObject): engineClient.CacheExport | undefined {
  const links = parseList(chain, parseCacheLink)
  return typeof session === 'string' && links !== undefined ? { session: session as types.ProgramId, chain: links } : undefined
}

/** Accepts any JSON body, for answers whose content does not matter. */
export function parseAcknowledgement (): { readonly done: true } {
  return { done: true }
}
