/** Decides how long a prefix stays held when a program's call has ended. */
import * as errors from '@eelgrasswind/errors'
import type * as learnPauses from './learn-pauses.js'

export type HoldRule =
  /** Hold until the program finishes or its deadline passes. */
  | { readonly type: 'always' }
  | { readonly type: 'never' }
  | { readonly type: 'fixed', readonly holdMs: number }
  /** The hold with the least expected waste, from the pauses seen by kind; `fallbackMs` until `minSamples` were seen. */
  | { readonly type: 'learnt', readonly fallbackMs: number, readonly minSamples: number, readonly maxMs: number }

/** What a hold is decided from. */
export interface HoldInput {
  /** Tokens of the prefix. */
  readonly prefixTokens: number
  readonly pauses: learnPauses.PauseStats
  /** Time to the program's deadline, in milliseconds; no hold is longer. */
  readonly leftMs: number
  /** Time that an unheld prefix survives in the engine's cache, in milliseconds; infinite while nothing is evicted. */
  readonly survivalMs: number
}

export type HoldReason =
  | { readonly type: 'rule' }
  /** Too few pauses of the kind were seen. */
  | { readonly type: 'fewSamples', readonly samples: number }
  /** Unheld prefixes survive longer than most pauses: a hold would only cost. */
  | { readonly type: 'cacheLargeEnough' }
  /** Least expected waste, in tokens computed again. */
  | { readonly type: 'leastWaste', readonly expectedWaste: number, readonly returnShare: number }
  | { readonly type: 'deadlinePassed' }

export interface Hold {
  /** How long to hold, in milliseconds; 0 releases at once. */
  readonly holdMs: number
  readonly reason: HoldReason
}

/** For engines that evict by last use: they keep a prefix through most pauses by themselves. */
export const defaultHoldRule: HoldRule = { type: 'never' }
export const learntHoldRule: HoldRule = { type: 'learnt', fallbackMs: 10_000, minSamples: 20, maxMs: 600_000 }

/** Waste of one token held for one second for a program that never returns, in tokens computed again. */
const wastePerTokenSecond = 1

export function decideHold (rule: HoldRule, input: HoldInput): Hold {
  if (input.leftMs <= 0) return { holdMs: 0, reason: { type: 'deadlinePassed' } }
  switch (rule.type) {
    case 'always': return { holdMs: input.leftMs, reason: { type: 'rule' } }
    case 'never': return { holdMs: 0, reason: { type: 'rule' } }
    case 'fixed': return { holdMs: Math.min(rule.holdMs, input.leftMs), reason: { type: 'rule' } }
    case 'learnt': return decideLearntHold(rule, input)
    default: return errors.unreachable(rule)
  }
}

function decideLearntHold (rule: Extract<HoldRule, { type: 'learnt' }>, input: HoldInput): Hold {
  if (input.survivalMs === Infinity) return { holdMs: 0, reason: { type: 'cacheLargeEnough' } }
  const samples = input.pauses.samples
  if (samples < rule.minSamples) {
    return { holdMs: Math.min(rule.fallbackMs, input.leftMs), reason: { type: 'fewSamples', samples } }
  }
  const maxHoldMs = Math.min(rule.maxMs, input.leftMs)
  let best = { holdMs: 0, waste: computeExpectedWaste(0, input) }
  for (const edge of input.pauses.edgesMs) {
    if (edge > maxHoldMs) break
    const waste = computeExpectedWaste(edge, input)
    if (waste < best.waste) best = { holdMs: edge, waste }
  }
  return {
    holdMs: best.holdMs,
    reason: { type: 'leastWaste', expectedWaste: best.waste * input.prefixTokens, returnShare: sum(input.pauses.returned) }
  }
}

/** Expected waste of a hold, for each token of the prefix. */
function computeExpectedWaste (holdMs: number, input: HoldInput): number {
  const { edgesMs, returned, gone } = input.pauses
  const survivesMs = Math.max(holdMs, input.survivalMs)
  // While a token is held, another one that would have survived as long is evicted in its place.
  const displacementWaste = sum(returned) * 1000 / input.survivalMs
  let waste = 0
  edgesMs.forEach((edge, at) => {
    const returnShare = returned[at] ?? 0
    const goneShare = gone[at] ?? 0
    const heldSeconds = Math.min(edge, holdMs) / 1000
    const displacingSeconds = Math.max(0, Math.min(edge, holdMs) - input.survivalMs) / 1000
    waste += goneShare * heldSeconds * wastePerTokenSecond
    waste += (goneShare + returnShare) * displacingSeconds * displacementWaste
    if (edge > survivesMs) waste += returnShare
  })
  return waste
}

function sum (shares: readonly number[]): number {
  return shares.reduce((sum, share) => sum + share, 0)
}
