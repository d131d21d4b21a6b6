/** Estimates the cost of a call on an upstream: queueing, prefill and decoding. */
import type * as types from '@eelgrasswind/types'
import type * as candidates from './candidate.js'

/** A candidate with the expected time to the end of the call, in milliseconds. */
export interface CostedCandidate {
  readonly candidate: candidates.Candidate
  readonly costMs: number
  readonly importFrom: types.UpstreamId | undefined
}

/** Estimates the calls that run or are queued there: the report, corrected by own calls started and ended since. */
export function estimateLoad (candidate: candidates.Candidate): number {
  const reported = candidate.reported
  if (reported === undefined) return candidate.inFlight
  const others = Math.max(0, reported.running + reported.waiting - candidate.inFlightAtReport)
  return others + candidate.inFlight
}

/** Estimates the cost of the call for each option; all candidates are considered as a source for importing the prefix. */
export function estimateCosts (costs: candidates.PlaceCosts, input: candidates.PlaceInput, options: readonly candidates.Candidate[]): readonly CostedCandidate[] {
  const bestCached = input.candidates.reduce<candidates.Candidate | undefined>((best, candidate) => {
    return candidate.cachedTokens > (best?.cachedTokens ?? 0) ? candidate : best
  }, undefined)
  return options.map((candidate) => estimateCost(costs, input, candidate, bestCached))
}

function estimateCost (costs: candidates.PlaceCosts, input: candidates.PlaceInput, candidate: candidates.Candidate, bestCached: candidates.Candidate | undefined): CostedCandidate {
  const load = estimateLoad(candidate)
  const waitMs = Math.max(0, load + 1 - candidate.slots) / candidate.slots * costs.typicalCallMs
  const streams = Math.min(load, candidate.slots - 1)
  const decodeMs = input.expectedTokens * costs.decodeMsPerToken * (1 + costs.slowdownPerStream * streams)
  const prefix = computePrefixCost(costs, input, candidate, bestCached)
  return {
    candidate,
    costMs: candidate.slowFactor * (waitMs + decodeMs) + prefix.costMs,
    importFrom: prefix.importFrom
  }
}

/** The lower cost of computing the uncached prompt and of importing the part that another engine has cached. */
function computePrefixCost (costs: candidates.PlaceCosts, input: candidates.PlaceInput, candidate: candidates.Candidate, bestCached: candidates.Candidate | undefined): { readonly costMs: number, readonly importFrom: types.UpstreamId | undefined } {
  const prefillMs = costs.prefillMsPerToken * candidate.slowFactor
  const cached = Math.min(candidate.cachedTokens, input.promptTokens)
  const recomputeMs = (input.promptTokens - cached) * prefillMs
  if (bestCached === undefined || bestCached === candidate || costs.importMsPerToken === undefined) {
    return { costMs: recomputeMs, importFrom: undefined }
  }
  const imported = Math.min(bestCached.cachedTokens, input.promptTokens)
  const importMs = imported * costs.importMsPerToken + (input.promptTokens - imported) * prefillMs
  if (importMs >= recomputeMs) return { costMs: recomputeMs, importFrom: undefined }
  return { costMs: importMs, importFrom: bestCached.upstream }
}
