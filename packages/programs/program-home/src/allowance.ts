/**
 * Allowances: what a home may use on idempotent calls before their records are written. It is in the journal before
 * it is used, and a later home counts it as spent, so that a program's budget holds across any number of takeovers.
 */
import type * as configState from '@eelgrasswind/config-state'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** Prompt tokens that a call is taken to have where nothing else is known; a longer one costs an append more. */
const usualPromptTokens = 2_000
/** Calls that fit in an allowance, so that the next call needs no append before it. */
const callsAhead = 2
/** Part of what is left of a budget that an allowance for calls to come may take: one in so many. */
const mostPart = 8

/** For the record that begins a program. */
export function firstAllowance (cfg: configState.Config, start: types.ProgramStart): types.Usage {
  return least(usualAhead(cfg, start), partOf(start.budget))
}

/** Whether what runs without a record, the call about to be sent included, is covered. */
export function isCovered (program: local.LocalProgram): boolean {
  const { allowance } = program.state
  const open = local.addUsage(program.reserved, program.unrecorded)
  return open.tokens <= allowance.tokens && open.calls <= allowance.calls && open.microCost <= allowance.microCost
}

/** What covers all that runs without a record, `ending` apart, and calls to come. */
export function nextAllowance (cfg: configState.Config, program: local.LocalProgram, need: types.Usage, ending: types.Usage = local.noUsage): types.Usage {
  const open = local.lessUsage(local.addUsage(program.reserved, program.unrecorded), ending)
  const left = local.lessUsage(local.lessUsage(program.state.start.budget, programState.computeSpent(program.state)), open)
  const likeLast = { tokens: callsAhead * need.tokens, calls: callsAhead * need.calls, microCost: callsAhead * need.microCost }
  return local.addUsage(open, least(most(likeLast, usualAhead(cfg, program.state.start)), partOf(left)))
}

/** What a few calls with prompts of ordinary length may need. */
function usualAhead (cfg: configState.Config, start: types.ProgramStart): types.Usage {
  const maxTokens = cfg.kinds.get(start.kind)?.maxTokens ?? 0
  const tokens = callsAhead * (maxTokens + usualPromptTokens)
  const highestPrice = Math.max(0, ...[...cfg.models.values()].map((model) => Math.max(model.microCostPerPromptToken, model.microCostPerGeneratedToken)))
  return { tokens, calls: callsAhead, microCost: Math.ceil(tokens * highestPrice) }
}

/** A takeover may cost a program no more than this part of what it has left, besides what was under way. */
function partOf (left: types.Usage): types.Usage {
  return {
    tokens: Math.floor(Math.max(0, left.tokens) / mostPart),
    calls: Math.floor(Math.max(0, left.calls) / mostPart),
    microCost: Math.floor(Math.max(0, left.microCost) / mostPart)
  }
}

function least (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: Math.min(a.tokens, b.tokens), calls: Math.min(a.calls, b.calls), microCost: Math.min(a.microCost, b.microCost) }
}

function most (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: Math.max(a.tokens, b.tokens), calls: Math.max(a.calls, b.calls), microCost: Math.max(a.microCost, b.microCost) }
}
