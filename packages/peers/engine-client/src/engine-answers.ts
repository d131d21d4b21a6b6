/** Checks an engine's answers to requests other than generations. */
import * as types from '@eelgrasswind/types'
import type * as engineClient from './engine-client.js'

type Members = Readonly<Record<string, unknown>>

/** Makes a value out of the members of an answer; undefined where they are not what was asked for. */
export type Parse<T> = (members: Members) => T | undefined

function membersOf (value: unknown): Members {
  return typeof value === 'object' && value !== null ? value as Members : {}
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

/** Parses a JSON body. */
export function parseBody<T> (body: Buffer, parse: Parse<T>): T | undefined {
  try {
    return parse(membersOf(JSON.parse(body.toString('utf8'))))
  } catch {
    return undefined
  }
}

/** Every member of a list by the same rule; undefined where one fails. */
function parseList<T> (value: unknown, parse: Parse<T>): T[] | undefined {
  if (!Array.isArray(value)) return undefined
  const list = value.map((one) => parse(membersOf(one)))
  return list.every((one) => one !== undefined) ? list as T[] : undefined
}

export function parseLoad (upstream: types.UpstreamId): Parse<types.UpstreamLoad> {
  return ({ running, waiting, cacheTokens, cacheCapacity, at }) => {
    if (!isCount(running) || !isCount(waiting) || !isCount(cacheTokens) || !isCount(cacheCapacity) || !isCount(at)) return undefined
    return { upstream, running, waiting, cacheTokens, cacheCapacity, at: at as types.EpochMs }
  }
}

function parseSession ({ session, tokens, held }: Members): (engineClient.HeldSession & { readonly held: boolean }) | undefined {
  if (!types.isId(session) || !isCount(tokens) || typeof held !== 'boolean') return undefined
  return { session: session as types.ProgramId, tokens, held }
}

/** Only the sessions that are held. */
export function parseSessions ({ sessions }: Members): readonly engineClient.HeldSession[] | undefined {
  const all = parseList(sessions, parseSession)
  return all?.filter((one) => one.held).map(({ session, tokens }) => ({ session, tokens }))
}

function parseEvent ({ seq, type, session, tokens }: Members): engineClient.CacheEvent | undefined {
  if (!isCount(seq) || (type !== 'stored' && type !== 'evicted') || typeof session !== 'string' || !isCount(tokens)) return undefined
  return { seq, type, session: session as types.ProgramId, tokens }
}

export function parseEvents ({ events }: Members): readonly engineClient.CacheEvent[] | undefined {
  return parseList(events, parseEvent)
}

function parseModel ({ model, version }: Members): { model: types.ModelId, version: string } | undefined {
  return typeof model === 'string' && typeof version === 'string' ? { model: model as types.ModelId, version } : undefined
}

export function parseState ({ models, adapters, role, fencing }: Members): engineClient.EngineState | undefined {
  const loaded = parseList(models, parseModel)
  const areTexts = Array.isArray(adapters) && adapters.every((one) => typeof one === 'string')
  if (loaded === undefined || !areTexts || typeof role !== 'string' || !isCount(fencing)) return undefined
  return { models: loaded, adapters: adapters as string[], role, fencing }
}

function parseLink ({ digest, tokens }: Members): engineClient.CacheLink | undefined {
  return typeof digest === 'string' && isCount(tokens) ? { digest, tokens } : undefined
}

export function parseExport ({ session, chain }: Members): engineClient.CacheExport | undefined {
  const links = parseList(chain, parseLink)
  return typeof session === 'string' && links !== undefined ? { session: session as types.ProgramId, chain: links } : undefined
}

/** For answers that say nothing but that it is done. */
export function parseDone (): { readonly done: true } {
  return { done: true }
}
