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
const draws = 3
/** An upstream that was heard of within this time, in ms, has most likely a connection left: idle ones are closed after 3.5 s. */
const connectedMs = 3_000
/** Up to this share of its slots an upstream serves a call as fast as when idle. */
const roomyLoad = 0.5
/** How far above the mean load of its service an upstream may be and still be given more, as a factor. */
const boundFactor = 1.25
/**
 * Beyond that, the share of its slots by which the holder of a chain may be busier. One more request beside a turn
 * costs it about 12 ms (steps and the reading of the other prompts), reading a chain of 3,000 tokens again 27 to 50 ms.
 */
const holderShare = 0.375

/** `undefined`: none may take it. */
export function chooseUpstream (input: ChooseInput): list.Upstream | undefined {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving && !input.tried.has(upstream.listed.id))
  const pool = soundest(usable, input.now)
  if (input.affinity === undefined) return chooseForCall(pool, input)
  return chooseForPrompt(pool, input.affinity, input)
}

/**
 * A call goes where an open connection is likely to be left, as long as that upstream has room: with many upstreams a
 * process would otherwise come back to each of them only after it has closed its connection.
 */
function chooseForCall (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  const connected = pool.filter((upstream) => input.now - upstream.lastActivityAt < connectedMs)
  const chosen = leastUsed(drawSome(connected, input.random), input)
  if (chosen !== undefined && load(chosen, input) < roomyLoad) return chosen
  return leastUsed(drawSome(pool, input.random), input)
}

/**
 * The holder of the chain, unless it is much busier than the rest. Otherwise the upstreams are asked in an order that
 * all processes share for the prompt's first part, and the first that is not above the mean takes it: each part lies in
 * the memory of as few upstreams as its share of the load needs (consistent hashing with bounded loads).
 */
function chooseForPrompt (pool: readonly list.Upstream[], affinity: PromptAffinity, input: ChooseInput): list.Upstream | undefined {
  const holder = pool.find((upstream) => upstream.listed.id === affinity.holder)
  const others = pool.filter((upstream) => upstream !== holder)
  if (holder !== undefined && load(holder, input) <= meanLoad(others, input) * boundFactor + holderShare) return holder
  const { sharedPrefix: sharedPart } = affinity
  if (sharedPart === undefined) return leastUsed(drawSome(pool, input.random), input)
  const bound = meanLoad(pool, input) * boundFactor
  for (const upstream of rankFor(sharedPart, pool)) {
    if (load(upstream, input) <= bound) return upstream
  }
  return leastUsed(pool, input)
}

/** How full a service is: requests of all processes at its sound upstreams, as a share of their slots. */
export function computeServiceLoad (input: Pick<ChooseInput, 'candidates' | 'othersRunning' | 'now'>): number {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving)
  return meanLoad(soundest(usable, input.now), input)
}

/** Rendezvous hashing: the same order in every process, with no messages. */
function rankFor (part: string, pool: readonly list.Upstream[]): list.Upstream[] {
  const scored = pool.map((upstream) => ({ upstream, score: hashText.hashText(part + upstream.listed.id) }))
  return scored.sort((a, b) => b.score - a.score).map(({ upstream }) => upstream)
}

/** Those that nothing speaks against; failing that, those that are merely full or suspected, then all. */
function soundest (usable: readonly list.Upstream[], now: number): readonly list.Upstream[] {
  const sound = usable.filter((upstream) => upstream.avoidUntil <= now && upstream.ejectedUntil <= now && upstream.fullUntil <= now)
  if (sound.length > 0) return sound
  const hopeful = usable.filter((upstream) => upstream.avoidUntil <= now && upstream.ejectedUntil <= now)
  return hopeful.length > 0 ? hopeful : usable
}

function meanLoad (pool: readonly list.Upstream[], input: Pick<ChooseInput, 'othersRunning'>): number {
  let sum = 0
  for (const upstream of pool) sum += load(upstream, input)
  return sum / Math.max(1, pool.length)
}

/** Requests of all processes as a share of the slots. */
function load (upstream: list.Upstream, input: Pick<ChooseInput, 'othersRunning'>): number {
  return (upstream.running + input.othersRunning(upstream.listed.id)) / Math.max(1, upstream.listed.slots)
}

function leastUsed (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  let best: list.Upstream | undefined
  let bestLoad = Infinity
  for (const upstream of pool) {
    const itsLoad = load(upstream, input)
    if (itsLoad >= bestLoad) continue
    best = upstream
    bestLoad = itsLoad
  }
  return best
}

/** Some of the pool in random order; all of a small one. */
function drawSome (pool: readonly list.Upstream[], random: () => number): list.Upstream[] {
  const left = [...pool]
  const drawn: list.Upstream[] = []
  while (left.length > 0 && drawn.length < draws) {
    const at = Math.floor(random() * left.length)
    drawn.push(left[at]!)
    left[at] = left[left.length - 1]!
    left.pop()
  }
  return drawn
}
