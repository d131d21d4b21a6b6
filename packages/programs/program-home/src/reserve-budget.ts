/** Reserves what a call may use before it runs. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** Bytes of a prompt for each token, on the low side so that estimates are high. */
const bytesPerToken = 3

/** What a call is expected to need at most, and what each token costs. */
export interface CallNeed {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly usage: types.Usage
}

/** An estimate from above for a prompt's tokens. */
export function estimateTokens (messages: readonly types.ChatMessage[]): number {
  let tokens = 0
  for (const message of messages) tokens += 1 + Math.ceil(Buffer.byteLength(JSON.stringify(message)) / bytesPerToken)
  return tokens
}

export function needOf (cfg: configState.Config, state: programState.ProgramState, target: types.CallTarget, branch: types.BranchId): CallNeed {
  switch (target.type) {
    case 'model': return modelNeed(cfg, state, target, branch)
    case 'service': {
      const microCost = cfg.services.get(target.service)?.microCostPerCall ?? 0
      return { promptTokens: 0, maxTokens: 0, usage: { tokens: 0, calls: 1, microCost } }
    }
    default: return errors.assertNever(target)
  }
}

function modelNeed (cfg: configState.Config, state: programState.ProgramState, target: Extract<types.CallTarget, { type: 'model' }>, branch: types.BranchId): CallNeed {
  const kind = cfg.kinds.get(state.start.kind)
  const maxTokens = Math.min(target.maxTokens, kind?.maxTokens ?? target.maxTokens)
  const promptTokens = estimateTokens([...programState.collectMessages(state, branch), ...target.messages])
  const tokens = { prompt: promptTokens, cached: 0, generated: maxTokens }
  return { promptTokens, maxTokens, usage: usageOf(cfg, target, tokens) }
}

/** What a finished call used. */
export function usageOf (cfg: configState.Config, target: types.CallTarget, tokens: types.TokenCount): types.Usage {
  switch (target.type) {
    case 'model': {
      const model = cfg.models.get(target.model)
      const microCost = tokens.prompt * (model?.microCostPerPromptToken ?? 0) + tokens.generated * (model?.microCostPerGeneratedToken ?? 0)
      return { tokens: tokens.prompt + tokens.generated, calls: 1, microCost: Math.ceil(microCost) }
    }
    case 'service': return { tokens: 0, calls: 1, microCost: cfg.services.get(target.service)?.microCostPerCall ?? 0 }
    default: return errors.assertNever(target)
  }
}

const limitedFields = ['tokens', 'calls', 'microCost'] as const

/** Whether the need fits beside what is spent and reserved; the failure names the first field that does not. */
export function checkBudget (program: local.LocalProgram, need: types.Usage): errors.Result<void> {
  const used = local.addUsage(programState.computeSpent(program.state), local.addUsage(program.reserved, program.unrecorded))
  const { budget } = program.state.start
  for (const field of limitedFields) {
    const remaining = budget[field] - used[field]
    if (need[field] <= remaining) continue
    return errors.fail(exceeded(field, need[field], remaining))
  }
  return errors.ok(undefined)
}

function exceeded (field: string, need: number, remaining: number): errors.Failure {
  const message = `the call may need ${need} ${field}, and ${remaining} are left of the program's budget`
  return { tag: 'budgetExceeded', verdict: 'notRun', message, field: `budget.${field}`, remaining }
}

/** Time left of the program's wall time, in milliseconds. */
export function wallLeftMs (state: programState.ProgramState, now: number): number {
  return state.at + state.start.budget.wallMs - now
}
