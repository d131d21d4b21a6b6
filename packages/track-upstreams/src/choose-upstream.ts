/** Chooses the upstream of the next request. */
import type * as types from '@eelgrasswind/types'
import type * as list from './upstream-list.js'

/** What the choice depends on. */
export interface ChooseInput {
  readonly candidates: readonly list.Upstream[]
  /** Upstreams that this request was already sent to. */
  readonly tried: ReadonlySet<types.UpstreamId>
  /** The upstream that holds the prompt's beginning, if any. */
  readonly preferred: types.UpstreamId | undefined
  readonly zone: types.AvailabilityZoneId
  /** Monotonic ms. */
  readonly now: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/**
 * A request leaves the upstream that holds its prompt when that one has this many more of our requests than the
 * least used one, as a share of its slots: reading the prompt again costs about as much as this much sharing.
 */
const spillShare = 0.25

/** The least used upstream, or the preferred one while it is not much more used. `undefined`: none may take it. */
export function chooseUpstream (input: ChooseInput): list.Upstream | undefined {
  const usable = input.candidates.filter((upstream) => !upstream.listed.leaving && !input.tried.has(upstream.listed.id))
  const sound = usable.filter((upstream) => upstream.avoidUntil <= input.now && upstream.fullUntil <= input.now)
  const pool = sound.length > 0 ? sound : usable
  const least = leastUsed(pool, input)
  if (least === undefined) return undefined
  const preferred = pool.find((upstream) => upstream.listed.id === input.preferred)
  if (preferred === undefined) return least
  return load(preferred) - load(least) <= spillShare ? preferred : least
}

/** Own requests as a share of the slots. */
function load (upstream: list.Upstream): number {
  return upstream.running / Math.max(1, upstream.listed.slots)
}

/** Equal ones are drawn at random, so that processes that know nothing of one another spread their requests. */
function leastUsed (pool: readonly list.Upstream[], input: ChooseInput): list.Upstream | undefined {
  let best: list.Upstream | undefined
  let bestCost = Infinity
  for (const upstream of pool) {
    const cost = load(upstream) + input.random() * tieBreak
    if (cost >= bestCost) continue
    best = upstream
    bestCost = cost
  }
  return best
}

/** Below the load of one request at any upstream, so that it only decides between equals. */
const tieBreak = 1e-3
