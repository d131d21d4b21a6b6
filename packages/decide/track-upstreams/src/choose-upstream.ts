/** Selects the upstream for a request by load, health and prompt-cache affinity. */
import * as hashText from '@eelgrasswind/hash-text'
import type * as types from '@eelgrasswind/types'
import type * as list from './upstream-list.js'

/** Hints about which upstreams may have parts of a prompt cached. */
export interface PromptAffinity {
  /** The upstream that ran the previous turn. */
  readonly holder: types.UpstreamId | undefined
  /** Identifies the first part of the prompt, which several programs may have in common. */
  readonly sharedPrefix: string | undefined
}

/** Input of one selection. */
export interface ChooseInput {
  readonly candidates: readonly list.Upstream[]
  /** Upstreams that this request was already sent to. */
  readonly tried: ReadonlySet<types.UpstreamId>
  /** `undefined` if no upstream can have any part of the request cached. */
  readonly affinity: PromptAffinity | undefined
  /** Requests that other processes have in flight at an upstream. */
  readonly othersRunning: (upstream: types.UpstreamId) => number
  /** Monotonic ms. */
  readonly now: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/**
 * Number of upstreams sampled for one selection. The load caused by other processes is known up to 800 ms late, so
 * that always taking the least loaded upstream would send it the requests of all processes at once.
 */
const sampleSize = 3
/** An upstream that sent something within this time, in ms, most likely still has an open connection: idle ones are closed after 3.5 s. */
const openConnectionMs = 3_000
/** Up to this share of its slots an upstream serves a request as fast as when it is idle. */
const lightLoad = 0.5
/** An upstream may get more requests while its load is at most this multiple of the mean load of its service. */
const loadBoundFactor = 1.25
/**
 * Added to that bound for the upstream with the cached prompt, as a share of its slots. A further concurrent request
 * slows a turn by about 12 ms (batch steps and prefill of the other prompts); prefilling 3,000 uncached tokens takes
 * 27 to 50 ms.
 */
const holderLoadMargin = 0.375

/** Selects an upstream that was not tried yet, is not leaving and not blocked; `undefined` if there is none. */
export function chooseUpstream (input: ChooseInput): list.Upstream | undefined {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving && upstream.blockedUntil <= input.now && !input.tried.has(upstream.listed.id))
  const pool = selectHealthiest(usable, input.now)
  if (input.affinity === undefined) return chooseForCall(pool, input)
  return chooseForPrompt(pool, input.affinity, input)
}

/**
 * Prefers a lightly loaded upstream that probably still has an open connection. With many upstreams, requests spread
 * evenly would reach each of them only after its idle connection was closed.
 */
function chooseForCall (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  const connected = pool.filter((upstream) => input.now - upstream.lastActivityAt < openConnectionMs)
  const chosen = findLeastLoaded(sampleUpstreams(connected, input.random), input)
  if (chosen !== undefined && computeLoad(chosen, input) < lightLoad) return chosen
  return findLeastLoaded(sampleUpstreams(pool, input.random), input)
}

/**
 * Selects the holder of the cached prompt, unless it is much busier than the others. Otherwise takes the first upstream
 * within the load bound, in the order in which all processes rank upstreams for the shared prefix. Each prefix is then
 * cached on as few upstreams as its share of the load requires (consistent hashing with bounded loads).
 */
function chooseForPrompt (pool: readonly list.Upstream[], affinity: PromptAffinity, input: ChooseInput): list.Upstream | undefined {
  const holder = pool.find((upstream) => upstream.listed.id === affinity.holder)
  const others = pool.filter((upstream) => upstream !== holder)
  if (holder !== undefined && computeLoad(holder, input) <= computeMeanLoad(others, input) * loadBoundFactor + holderLoadMargin) return holder
  const { sharedPrefix } = affinity
  if (sharedPrefix === undefined) return findLeastLoaded(sampleUpstreams(pool, input.random), input)
  const maxLoad = computeMeanLoad(pool, input) * loadBoundFactor
  for (const upstream of rankByHash(sharedPrefix, pool)) {
    if (computeLoad(upstream, input) <= maxLoad) return upstream
  }
  return findLeastLoaded(pool, input)
}

/** Mean load of the healthy upstreams of a service: requests of all processes as a share of the slots. */
export function computeServiceLoad (input: Pick<ChooseInput, 'candidates' | 'othersRunning' | 'now'>): number {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving)
  return computeMeanLoad(selectHealthiest(usable, input.now), input)
}

/** Ranks upstreams by rendezvous hashing: every process gets the same order without coordination. */
function rankByHash (prefix: string, pool: readonly list.Upstream[]): list.Upstream[] {
  const scored = pool.map((upstream) => ({ upstream, score: hashText.hashText(prefix + upstream.listed.id) }))
  return scored.sort((a, b) => b.score - a.score).map(({ upstream }) => upstream)
}

/** Upstreams that are neither failing, ejected nor full; if there are none, those that are only full; otherwise all. */
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

/** Load of an upstream: requests of all processes as a share of its slots. */
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

/** Samples up to `sampleSize` upstreams at random, without repetition. */
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
