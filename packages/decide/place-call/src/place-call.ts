/** Selects the upstream for a call by the configured rule. */
import * as errors from '@eelgrasswind/errors'
import type * as candidates from './candidate.js'
import * as costs from './estimate-cost.js'

/** Retry-after time if no upstream is usable. */
const noUpstreamRetryMs = 1_000

/** Selects an upstream; returns `none` with a retry-after time if there is no usable one. */
export function placeCall (rule: candidates.PlaceRule, input: candidates.PlaceInput): candidates.Placement {
  const usable = selectUsable(input.candidates)
  const first = usable[0]
  if (first === undefined) {
    const reason = input.candidates.length === 0 ? 'noUpstream' : 'allLeaving'
    return { type: 'none', retryAfterMs: noUpstreamRetryMs, reason }
  }
  switch (rule.type) {
    case 'roundRobin': {
      const chosen = usable[input.turn % usable.length] ?? first
      return createPlacement(chosen, { type: 'turn' }, [chosen])
    }
    case 'leastLoaded': return createPlacement(findCheapest(usable, computeReportedLoad), { type: 'leastLoaded' }, usable)
    case 'twoChoices': {
      const two = sampleTwo(usable, input.random)
      return createPlacement(findCheapest(two, estimateRelativeCost), { type: 'betterOfTwo' }, two)
    }
    case 'homeFirst': return placeByCost(rule, input, usable)
    default: return errors.assertNever(rule)
  }
}

/** Live upstreams; suspect ones only when there is no live one; leaving ones never. */
function selectUsable (all: readonly candidates.Candidate[]): readonly candidates.Candidate[] {
  const live = all.filter((candidate) => candidate.state === 'live')
  if (live.length > 0) return live
  return all.filter((candidate) => candidate.state === 'suspect')
}

function computeReportedLoad (candidate: candidates.Candidate): number {
  const reported = candidate.reported
  return reported === undefined ? 0 : (reported.running + reported.waiting) / candidate.slots
}

function estimateRelativeCost (candidate: candidates.Candidate): number {
  return candidate.slowFactor * (costs.estimateLoad(candidate) + 1) / candidate.slots
}

function findCheapest (all: readonly candidates.Candidate[], cost: (candidate: candidates.Candidate) => number): candidates.Candidate {
  return all.reduce((best, candidate) => cost(candidate) < cost(best) ? candidate : best)
}

function sampleTwo (all: readonly candidates.Candidate[], random: () => number): readonly candidates.Candidate[] {
  if (all.length <= 2) return all
  const first = Math.floor(random() * all.length)
  const step = 1 + Math.floor(random() * (all.length - 1))
  return [all[first]!, all[(first + step) % all.length]!]
}

/** Compares the engine with affinity to the program with two random others, to avoid a thundering herd on the cheapest one. */
function placeByCost (
  rule: Extract<candidates.PlaceRule, { type: 'homeFirst' }>,
  input: candidates.PlaceInput,
  usable: readonly candidates.Candidate[]
): candidates.Placement {
  const affinityCandidate = findAffinityCandidate(input, usable)
  const options = costs.estimateCosts(rule.costs, input, affinityCandidate === undefined ? sampleTwo(usable, input.random) : addAlternatives(affinityCandidate, usable, input.random))
  const best = options.reduce((a, b) => b.costMs < a.costMs ? b : a)
  const affinityOption = options.find((option) => option.candidate === affinityCandidate)
  if (affinityOption === undefined) return createCostedPlacement(best, { type: 'homeUnavailable' }, options)
  const savedMs = affinityOption.costMs - best.costMs
  // Before its first call a program has no cached prefix to lose.
  const marginMs = input.lastUpstream === undefined ? 0 : rule.spillMarginMs
  if (savedMs <= marginMs) return createCostedPlacement(affinityOption, describeAffinity(input, affinityOption), options)
  const prefix = best.importFrom === undefined ? 'recompute' : 'import'
  return createCostedPlacement(best, { type: 'spill', savedMs, prefix }, options)
}

/** The engine with affinity to the program: that of its last call, otherwise the one on its home host. */
function findAffinityCandidate (input: candidates.PlaceInput, usable: readonly candidates.Candidate[]): candidates.Candidate | undefined {
  const last = usable.find((candidate) => candidate.upstream === input.lastUpstream)
  return last ?? usable.find((candidate) => candidate.host === input.home)
}

function addAlternatives (affinityCandidate: candidates.Candidate, usable: readonly candidates.Candidate[], random: () => number): readonly candidates.Candidate[] {
  const others = usable.filter((candidate) => candidate !== affinityCandidate)
  return [affinityCandidate, ...sampleTwo(others, random)]
}

function describeAffinity (input: candidates.PlaceInput, affinityOption: costs.CostedCandidate): candidates.PlaceReason {
  const { upstream, cachedTokens } = affinityOption.candidate
  return upstream === input.lastUpstream ? { type: 'prefix', cachedTokens } : { type: 'home' }
}

function createPlacement (chosen: candidates.Candidate, reason: candidates.PlaceReason, considered: readonly candidates.Candidate[]): candidates.Placement {
  return {
    type: 'placed',
    upstream: chosen.upstream,
    host: chosen.host,
    importFrom: undefined,
    reason,
    considered: considered.map((candidate) => ({
      upstream: candidate.upstream,
      load: costs.estimateLoad(candidate),
      costMs: undefined
    }))
  }
}

function createCostedPlacement (chosen: costs.CostedCandidate, reason: candidates.PlaceReason, options: readonly costs.CostedCandidate[]): candidates.Placement {
  return {
    type: 'placed',
    upstream: chosen.candidate.upstream,
    host: chosen.candidate.host,
    importFrom: chosen.importFrom,
    reason,
    considered: options.map((option) => ({
      upstream: option.candidate.upstream,
      load: costs.estimateLoad(option.candidate),
      costMs: option.costMs
    }))
  }
}
