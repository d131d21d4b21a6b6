/** Chooses the upstream of the next request. */
import * as hashText from '@eelgrasswind/hash-text'
import type * as types from '@eelgrasswind/types'
import type * as list from './upstream-list.js'

/** What of a prompt may lie in the memory of an upstream. */
export interface PromptAffinity {
  /** The upstream that ran the turn before. */
  readonly holder: types.UpstreamId | undefined
  /** The first part of the prompt, which programs share. */
  readonly sharedPrefix: string | undefined
}

/** What the choice depends on. */
export interface ChooseInput {
  readonly candidates: readonly list.Upstream[]
  /** Upstreams that this request was already sent to. */
  readonly tried: ReadonlySet<types.UpstreamId>
  /** `undefined`: nothing of the request lies in the memory of any upstream. */
  readonly affinity: PromptAffinity | undefined
  /** Requests that other processes have running there. */
  readonly othersRunning: (upstream: types.UpstreamId) => number
  /** Monotonic ms. */
  readonly now: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Upstreams drawn for one choice. What others run is known up to 800 ms late: the least used of all would get everything at once. */
const sampleSize = 3
/** An upstream that was heard of within this time, in ms, has most likely a connection left: idle ones are closed after 3.5 s. */
const openConnectionMs = 3_000
/** Up to this share of its slots an upstream serves a call as fast as when idle. */
const lightLoad = 0.5
/** How far above the mean load of its service an upstream may be and still be given more, as a factor. */
const loadBoundFactor = 1.25
/**
 * Beyond that, the share of its slots by which the holder of a chain may be busier. One more request beside a turn
 * costs it about 12 ms (steps and the reading of the other prompts), reading a chain of 3,000 tokens again 27 to 50 ms.
 */
const holderLoadMargin = 0.375

/** `undefined`: none may take it. */
export function chooseUpstream (input: ChooseInput): list.Upstream | undefined {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving && !input.tried.has(upstream.listed.id))
  const pool = selectHealthiest(usable, input.now)
  if (input.affinity === undefined) return chooseForCall(pool, input)
  return chooseForPrompt(pool, input.affinity, input)
}

/**
 * A call goes where an open connection is likely to be left, as long as that upstream has room: with many upstreams a
 * process would otherwise come back to each of them only after it has closed its connection.
 */
function chooseForCall (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  const connected = pool.filter((upstream) => input.now - upstream.lastActivityAt < openConnectionMs)
  const chosen = findLeastLoaded(sampleUpstreams(connected, input.random), input)
  if (chosen !== undefined && computeLoad(chosen, input) < lightLoad) return chosen
  return findLeastLoaded(sampleUpstreams(pool, input.random), input)
}

/**
 * The holder of the chain, unless it is much busier than the rest. Otherwise the upstreams are asked in an order that
 * all processes share for the prompt's first part, and the first that is not above the mean takes it: each part lies in
 * the memory of as few upstreams as its share of the load needs (consistent hashing with bounded loads).
 */
function chooseForPrompt (pool: readonly list.Upstream[], affinity: PromptAffinity, input: ChooseInput): list.Upstream | undefined {
  const holder = pool.find((upstream) => upstream.listed.id === affinity.holder)
  const others = pool.filter((upstream) => upstream !== holder)
  if (holder !== undefined && computeLoad(holder, input) <= computeMeanLoad(others, input) * loadBoundFactor + holderLoadMargin) return holder
  const { sharedPrefix } = affinity
  if (sharedPrefix === undefined) return findLeastLoaded(sampleUpstreams(pool, input.random), input)
  const bound = computeMeanLoad(pool, input) * loadBoundFactor
  for (const upstream of rankByHash(sharedPrefix, pool)) {
    if (computeLoad(upstream, input) <= bound) return upstream
  }
  return findLeastLoaded(pool, input)
}

/** How full a service is: requests of all processes at its sound upstreams, as a share of their slots. */
export function computeServiceLoad (input: Pick<ChooseInput, 'candidates' | 'othersRunning' | 'now'>): number {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving)
  return computeMeanLoad(selectHealthiest(usable, input.now), input)
}

/** Rendezvous hashing: the same order in every process, with no messages. */
function rankByHash (prefix: string, pool: readonly list.Upstream[]): list.Upstream[] {
  const scored = pool.map((upstream) => ({ upstream, score: hashText.hashText(prefix + upstream.listed.id) }))
  return scored.sort((a, b) => b.score - a.score).map(({ upstream }) => upstream)
}

/** Those that nothing speaks against; failing that, those that are merely full or suspected, then all. */
function selectHealthiest (usable: readonly list.Upstream[], now: number): readonly list.Upstream[] {
  const healthy = usable.filter((upstream) => upstream.avoidUntil <= now && upstream.ejectedUntil <= now && upstream.fullUntil <= now)
  if (healthy.length > 0) return healthy
  const notAvoided = usable.filter((upstream) => upstream.avoidUntil <= now && upstream.ejectedUntil <= now)
  return notAvoided.length > 0 ? notAvoided : usable
}

function computeMeanLoad (pool: readonly list.Upstream[], input: Pick<ChooseInput, 'othersRunning'>): number {
  let sum = 0
  for (const upstream of pool) sum += computeLoad(upstream, input)
  return sum / Math.max(1, pool.length)
}

/** Requests of all processes as a share of the slots. */
function computeLoad (upstream: list.Upstream, input: Pick<ChooseInput, 'othersRunning'>): number {
  return (upstream.running + input.othersRunning(upstream.listed.id)) / Math.max(1, upstream.listed.slots)
}

function findLeastLoaded (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  let best: list.Upstream | undefined
  let bestLoad = Infinity
  for (const upstream of pool) {
    const upstreamLoad = computeLoad(upstream, input)
    if (upstreamLoad >= bestLoad) continue
    best = upstream
    bestLoad = upstreamLoad
  }
  return best
}

/** Some of the pool in random order; all of a small one. */
function sampleUpstreams (pool: readonly list.Upstream[], random: () => number): list.Upstream[] {
  const remaining = [...pool]
  const sample: list.Upstream[] = []
  while (remaining.length > 0 && sample.length < sampleSize) {
    const index = Math.floor(random() * remaining.length)
    sample.push(remaining[index]!)
    remaining[index] = remaining[remaining.length - 1]!
    remaining.pop()
  }
  return sample
}
