/** Decides how long a cached prefix is held, that is protected from eviction, after a call of its program has ended. */
import * as errors from '@eelgrasswind/errors'
import type * as learnPauses from './learn-pauses.js'

/** The configured rule for holds. */
export type HoldRule =
  /** Hold until the program finishes or its deadline passes. */
  | { readonly type: 'always' }
  | { readonly type: 'never' }
  | { readonly type: 'fixed', readonly holdMs: number }
  /** The hold with the least expected waste, from the observed pauses of the kind; `fallbackMs` before `minSamples` observations. */
  | { readonly type: 'learnt', readonly fallbackMs: number, readonly minSamples: number, readonly maxMs: number }

/** Input of one decision. */
export interface HoldInput {
  /** Tokens of the prefix. */
  readonly prefixTokens: number
  readonly pauses: learnPauses.PauseStats
  /** Time left until the program's deadline, in milliseconds; an upper bound of the hold. */
  readonly leftMs: number
  /** Time until an unheld prefix is evicted from the engine's cache, in milliseconds; infinite while nothing is evicted. */
  readonly survivalMs: number
}

/** Why a hold has its length. */
export type HoldReason =
  | { readonly type: 'rule' }
  /** Too few pauses of the kind were observed. */
  | { readonly type: 'fewSamples', readonly samples: number }
  /** Nothing is evicted: a hold would only have a cost. */
  | { readonly type: 'cacheLargeEnough' }
  /** The hold with the least expected waste, in recomputed tokens. */
  | { readonly type: 'leastWaste', readonly expectedWaste: number, readonly returnShare: number }
  | { readonly type: 'deadlinePassed' }

/** A decided hold. */
export interface Hold {
  /** Length of the hold in milliseconds; 0 releases the prefix immediately. */
  readonly holdMs: number
  readonly reason: HoldReason
}

/** Default for engines with LRU eviction, which keep a prefix through most pauses by themselves. */
export const defaultHoldRule: HoldRule = { type: 'never' }
/** Settings of the rule that learns from observed pauses. */
export const learntHoldRule: HoldRule = { type: 'learnt', fallbackMs: 10_000, minSamples: 20, maxMs: 600_000 }

/** Cost of holding one token for one second for a program that never returns, in recomputed tokens. */
const wastePerTokenSecond = 1

/** Decides the hold by the rule; never longer than the time left until the program's deadline. */
export function decideHold (rule: HoldRule, input: HoldInput): Hold {
  if (input.leftMs <= 0) return { holdMs: 0, reason: { type: 'deadlinePassed' } }
  switch (rule.type) {
    case 'always': return { holdMs: input.leftMs, reason: { type: 'rule' } }
    case 'never': return { holdMs: 0, reason: { type: 'rule' } }
    case 'fixed': return { holdMs: Math.min(rule.holdMs, input.leftMs), reason: { type: 'rule' } }
    case 'learnt': return decideLearntHold(rule, input)
    default: return errors.assertNever(rule)
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

/** Expected waste of a hold per token of the prefix. */
function computeExpectedWaste (holdMs: number, input: HoldInput): number {
  const { edgesMs, returned, gone } = input.pauses
  const survivesMs = Math.max(holdMs, input.survivalMs)
  // A token held longer than the survival time displaces another one, which is evicted in its place.
  const displacementWaste = sum(returned) * 1000 / input.survivalMs
  let waste = 0
  edgesMs.forEach((edge, index) => {
    const returnShare = returned[index] ?? 0
    const goneShare = gone[index] ?? 0
    const heldSeconds = Math.min(edge, holdMs) / 1000
    const displacingSeconds = Math.max(0, Math.min(edge, holdMs) - input.survivalMs) / 1000
    waste += goneShare * heldSeconds * wastePerTokenSecond
    waste += (goneShare + returnShare) * displacingSeconds * displacementWaste
    if (edge > survivesMs) waste += returnShare
  })
  return waste
}

function sum (shares: readonly number[]): number {
  return shares.reduce((total, share) => total + share, 0)
}
