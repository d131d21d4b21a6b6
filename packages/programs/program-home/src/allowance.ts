/**
 * Computes allowances: the usage that a home may spend on idempotent calls before their turns are recorded. An
 * allowance is in the journal before it is used, and the next home counts it as spent after a takeover, so that the
 * program's budget holds across any number of takeovers.
 */
import type * as configState from '@eelgrasswind/config-state'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** Assumed prompt length of a future call, in tokens. A longer prompt costs one more append. */
const typicalPromptTokens = 2_000
/** Number of calls that one allowance covers, so that the next call needs no append before it. */
const callsPerAllowance = 2
/** An allowance for future calls takes at most the remaining budget divided by this. */
const budgetDivisor = 8

/** Computes the allowance in the begin record of a program. */
export function computeFirstAllowance (cfg: configState.Config, start: types.ProgramStart): types.Usage {
  return computeMinUsage(computeTypicalAllowance(cfg, start), computeFraction(start.budget))
}

/** Whether the allowance covers all unrecorded usage, including the call about to be sent. */
export function isCovered (program: local.LocalProgram): boolean {
  const { allowance } = program.state
  const openUsage = local.addUsage(program.reserved, program.unrecordedUsage)
  return openUsage.tokens <= allowance.tokens && openUsage.calls <= allowance.calls && openUsage.microCost <= allowance.microCost
}

/** Computes an allowance for all unrecorded usage but `endingUsage`, and for the calls after it. */
export function computeNextAllowance (cfg: configState.Config, program: local.LocalProgram, callUsage: types.Usage, endingUsage: types.Usage = local.zeroUsage): types.Usage {
  const openUsage = local.subtractUsage(local.addUsage(program.reserved, program.unrecordedUsage), endingUsage)
  const remaining = local.subtractUsage(local.subtractUsage(program.state.start.budget, programState.computeSpent(program.state)), openUsage)
  const scaledUsage = { tokens: callsPerAllowance * callUsage.tokens, calls: callsPerAllowance * callUsage.calls, microCost: callsPerAllowance * callUsage.microCost }
  return local.addUsage(openUsage, computeMinUsage(computeMaxUsage(scaledUsage, computeTypicalAllowance(cfg, program.state.start)), computeFraction(remaining)))
}

/** Usage of `callsPerAllowance` calls with typical prompts and the kind's maximum answer, at the highest token price. */
function computeTypicalAllowance (cfg: configState.Config, start: types.ProgramStart): types.Usage {
  const maxTokens = cfg.kinds.get(start.kind)?.maxTokens ?? 0
  const tokens = callsPerAllowance * (maxTokens + typicalPromptTokens)
  const highestPrice = Math.max(0, ...[...cfg.models.values()].map((model) => Math.max(model.microCostPerPromptToken, model.microCostPerGeneratedToken)))
  return { tokens, calls: callsPerAllowance, microCost: Math.ceil(tokens * highestPrice) }
}

/** Bounds what a takeover costs a program: besides the calls in flight, no more than this part of its remaining budget. */
function computeFraction (remaining: types.Usage): types.Usage {
  return {
    tokens: Math.floor(Math.max(0, remaining.tokens) / budgetDivisor),
    calls: Math.floor(Math.max(0, remaining.calls) / budgetDivisor),
    microCost: Math.floor(Math.max(0, remaining.microCost) / budgetDivisor)
  }
}

function computeMinUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: Math.min(a.tokens, b.tokens), calls: Math.min(a.calls, b.calls), microCost: Math.min(a.microCost, b.microCost) }
}

function computeMaxUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: Math.max(a.tokens, b.tokens), calls: Math.max(a.calls, b.calls), microCost: Math.max(a.microCost, b.microCost) }
}
