/**
 * Allowances: what a home may use on idempotent calls before their records are written. It is in the journal before
 * it is used, and a later home counts it as spent, so that a program's budget holds across any number of takeovers.
 */
import type * as configState from '@eelgrasswind/config-state'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** Prompt tokens that a first call is taken to have; a longer one costs an append more. */
const firstPromptTokens = 2_000
/** Calls like the last one that fit in an allowance, so that the next call needs no append before it. */
const callsAhead = 2

/** For the record that begins a program. */
export function firstAllowance (cfg: configState.Config, start: types.ProgramStart): types.Usage {
  const maxTokens = cfg.kinds.get(start.kind)?.maxTokens ?? 0
  const tokens = callsAhead * (maxTokens + firstPromptTokens)
  const highestPrice = Math.max(0, ...[...cfg.models.values()].map((model) => Math.max(model.microCostPerPromptToken, model.microCostPerGeneratedToken)))
  return least({ tokens, calls: callsAhead, microCost: Math.ceil(tokens * highestPrice) }, start.budget)
}

/** Whether what runs without a record, the call about to be sent included, is covered. */
export function isCovered (program: local.LocalProgram): boolean {
  const { allowance } = program.state
  const open = local.addUsage(program.reserved, program.unrecorded)
  return open.tokens <= allowance.tokens && open.calls <= allowance.calls && open.microCost <= allowance.microCost
}

/** What covers all that runs without a record, `ending` apart, and calls like the last one after it; never more than is left. */
export function nextAllowance (program: local.LocalProgram, need: types.Usage, ending: types.Usage = local.noUsage): types.Usage {
  const open = local.lessUsage(local.addUsage(program.reserved, program.unrecorded), ending)
  const ahead = { tokens: callsAhead * need.tokens, calls: callsAhead * need.calls, microCost: callsAhead * need.microCost }
  return least(local.addUsage(open, ahead), leftOf(program))
}

function leftOf (program: local.LocalProgram): types.Usage {
  const { budget } = program.state.start
  return local.lessUsage(budget, programState.spent(program.state))
}

function least (a: types.Usage, b: types.Usage): types.Usage {
  return {
    tokens: Math.max(0, Math.min(a.tokens, b.tokens)),
    calls: Math.max(0, Math.min(a.calls, b.calls)),
    microCost: Math.max(0, Math.min(a.microCost, b.microCost))
  }
}
