/** Estimates the usage of a call before it runs and checks it against the program's budget. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as local from './local-program.js'

/** Prompt bytes per token. Lower than in practice, so that estimates are upper bounds. */
const bytesPerToken = 3

/** Upper bound of the tokens and the usage of a call. */
export interface CallEstimate {
  readonly promptTokens: number
  readonly maxTokens: number
  readonly usage: types.Usage
}

/** Upper bound of the tokens of a prompt. */
export function estimatePromptTokens (messages: readonly types.ChatMessage[]): number {
  let tokens = 0
  for (const message of messages) tokens += 1 + Math.ceil(Buffer.byteLength(JSON.stringify(message)) / bytesPerToken)
  return tokens
}

/** Estimates a call. Its prompt is the branch's messages so far and those of the call; unknown prices count as 0. */
export function estimateCall (cfg: configState.Config, state: programState.ProgramState, target: types.CallTarget, branch: types.BranchId): CallEstimate {
  switch (target.type) {
    case 'model': return estimateModelCall(cfg, state, target, branch)
    case 'service': {
      const microCost = cfg.services.get(target.service)?.microCostPerCall ?? 0
      return { promptTokens: 0, maxTokens: 0, usage: { tokens: 0, calls: 1, microCost } }
    }
    default: return errors.assertNever(target)
  }
}

function estimateModelCall (cfg: configState.Config, state: programState.ProgramState, target: Extract<types.CallTarget, { type: 'model' }>, branch: types.BranchId): CallEstimate {
  const kind = cfg.kinds.get(state.start.kind)
  const maxTokens = Math.min(target.maxTokens, kind?.maxTokens ?? target.maxTokens)
  const promptTokens = estimatePromptTokens([...programState.collectMessages(state, branch), ...target.messages])
  const tokens = { prompt: promptTokens, cached: 0, generated: maxTokens }
  return { promptTokens, maxTokens, usage: computeUsage(cfg, target, tokens) }
}

/** Usage of a call with the given token counts, at the configured prices. */
export function computeUsage (cfg: configState.Config, target: types.CallTarget, tokens: types.TokenCount): types.Usage {
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

/** Checks that the usage fits into the budget beside spent, reserved and unrecorded usage. The failure names the first field that does not fit. */
export function checkBudget (program: local.LocalProgram, usage: types.Usage): errors.Result<void> {
  const used = local.addUsage(programState.computeSpent(program.state), local.addUsage(program.reserved, program.unrecordedUsage))
  const { budget } = program.state.start
  for (const field of limitedFields) {
    const remaining = budget[field] - used[field]
    if (usage[field] <= remaining) continue
    return errors.fail(createBudgetExceededFailure(field, usage[field], remaining))
  }
  return errors.ok(undefined)
}

function createBudgetExceededFailure (field: string, neededAmount: number, remaining: number): errors.Failure {
  const message = `the call may use ${neededAmount} ${field}, but only ${remaining} remain of the program's budget`
  return { tag: 'budgetExceeded', verdict: 'notRun', message, field: `budget.${field}`, remaining }
}

/** Remaining wall time of the program in milliseconds; negative once it is exceeded. */
export function computeRemainingWallMs (state: programState.ProgramState, now: number): number {
  return state.at + state.start.budget.wallMs - now
}
