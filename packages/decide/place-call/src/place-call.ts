/** Places a call on one of the upstreams that may take it. */
import * as errors from '@eelgrasswind/errors'
import type * as candidates from './candidate.js'
import * as price from './price.js'

/** Time to come back while no upstream may take the call. */
const noUpstreamRetryMs = 1_000

export function placeCall (rule: candidates.PlaceRule, input: candidates.PlaceInput): candidates.Placement {
  const usable = usableOf(input.candidates)
  const first = usable[0]
  if (first === undefined) {
    const reason = input.candidates.length === 0 ? 'noUpstream' : 'allLeaving'
    return { type: 'none', retryAfterMs: noUpstreamRetryMs, reason }
  }
  switch (rule.type) {
    case 'roundRobin': {
      const chosen = usable[input.turn % usable.length] ?? first
      return placed(chosen, { type: 'turn' }, [chosen])
    }
    case 'leastLoaded': return placed(leastOf(usable, reportedLoad), { type: 'leastLoaded' }, usable)
    case 'twoChoices': {
      const two = drawTwo(usable, input.random)
      return placed(leastOf(two, believedCost), { type: 'betterOfTwo' }, two)
    }
    case 'homeFirst': return placeByPrice(rule, input, usable)
    default: return errors.unreachable(rule)
  }
}

/** Live upstreams; suspect ones only when there is no live one; leaving ones never. */
function usableOf (all: readonly candidates.Candidate[]): readonly candidates.Candidate[] {
  const live = all.filter((candidate) => candidate.state === 'live')
  if (live.length > 0) return live
  return all.filter((candidate) => candidate.state === 'suspect')
}

function reportedLoad (candidate: candidates.Candidate): number {
  const reported = candidate.reported
  return reported === undefined ? 0 : (reported.running + reported.waiting) / candidate.slots
}

function believedCost (candidate: candidates.Candidate): number {
  return candidate.slowFactor * (price.believedLoad(candidate) + 1) / candidate.slots
}

function leastOf (all: readonly candidates.Candidate[], cost: (candidate: candidates.Candidate) => number): candidates.Candidate {
  return all.reduce((best, candidate) => cost(candidate) < cost(best) ? candidate : best)
}

function drawTwo (all: readonly candidates.Candidate[], random: () => number): readonly candidates.Candidate[] {
  if (all.length <= 2) return all
  const first = Math.floor(random() * all.length)
  const step = 1 + Math.floor(random() * (all.length - 1))
  return [all[first]!, all[(first + step) % all.length]!]
}

/** Compares the program's own engine with two others drawn at random, so that a herd never forms. */
function placeByPrice (
  rule: Extract<candidates.PlaceRule, { type: 'homeFirst' }>,
  input: candidates.PlaceInput,
  usable: readonly candidates.Candidate[]
): candidates.Placement {
  const own = ownOf(input, usable)
  const weighed = price.priceAll(rule.costs, input, own === undefined ? drawTwo(usable, input.random) : withOthers(own, usable, input.random))
  const best = weighed.reduce((a, b) => b.costMs < a.costMs ? b : a)
  const stay = weighed.find((option) => option.candidate === own)
  if (stay === undefined) return placedAt(best, { type: 'homeUnavailable' }, weighed)
  const savedMs = stay.costMs - best.costMs
  // Before its first call a program has no prefix to leave behind.
  const marginMs = input.lastUpstream === undefined ? 0 : rule.spillMarginMs
  if (savedMs <= marginMs) return placedAt(stay, stayReason(input, stay), weighed)
  const prefix = best.importFrom === undefined ? 'recompute' : 'import'
  return placedAt(best, { type: 'spill', savedMs, prefix }, weighed)
}

/** The engine that the program sticks to: where its last call ran, or else the one beside its home. */
function ownOf (input: candidates.PlaceInput, usable: readonly candidates.Candidate[]): candidates.Candidate | undefined {
  const last = usable.find((candidate) => candidate.upstream === input.lastUpstream)
  return last ?? usable.find((candidate) => candidate.host === input.home)
}

function withOthers (own: candidates.Candidate, usable: readonly candidates.Candidate[], random: () => number): readonly candidates.Candidate[] {
  const others = usable.filter((candidate) => candidate !== own)
  return [own, ...drawTwo(others, random)]
}

function stayReason (input: candidates.PlaceInput, stay: price.Priced): candidates.PlaceReason {
  const { upstream, cachedTokens } = stay.candidate
  return upstream === input.lastUpstream ? { type: 'prefix', cachedTokens } : { type: 'home' }
}

function placed (chosen: candidates.Candidate, reason: candidates.PlaceReason, considered: readonly candidates.Candidate[]): candidates.Placement {
  return {
    type: 'placed',
    upstream: chosen.upstream,
    host: chosen.host,
    importFrom: undefined,
    reason,
    considered: considered.map((candidate) => ({
      upstream: candidate.upstream,
      load: price.believedLoad(candidate),
      costMs: undefined
    }))
  }
}

function placedAt (chosen: price.Priced, reason: candidates.PlaceReason, weighed: readonly price.Priced[]): candidates.Placement {
  return {
    type: 'placed',
    upstream: chosen.candidate.upstream,
    host: chosen.candidate.host,
    importFrom: chosen.importFrom,
    reason,
    considered: weighed.map((option) => ({
      upstream: option.candidate.upstream,
      load: price.believedLoad(option.candidate),
      costMs: option.costMs
    }))
  }
}
