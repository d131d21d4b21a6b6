/** What may be asked of a program's state. */
import type * as types from '@eelgrasswind/types'
import * as usages from './usage.js'
import type * as states from './state.js'

/** The sequence number of the next new call of a branch; an open intent occupies its place. */
export function getNextSeq (state: states.ProgramState, branch: types.BranchId): number {
  const known = state.branches.get(branch)
  if (known === undefined) return 1
  return known.turns.length + (known.open === undefined ? 1 : 2)
}

/** The finished call under a request key. */
export function findTurn (state: states.ProgramState, key: types.RequestKey): types.Turn | undefined {
  return state.turnsByKey.get(key)
}

/** The open intent under a request key. */
export function findIntent (state: states.ProgramState, key: types.RequestKey): states.OpenIntent | undefined {
  return state.intents.get(key)
}

/**
 * The conversation of a branch so far, for the prompt of its next model call: the messages of each answered
 * model call, then its answer. A failed call keeps its place in the history but adds nothing here, as its
 * caller repeats the messages in the next call; a service call adds nothing, as its caller sends the result.
 */
export function collectMessages (state: states.ProgramState, branch: types.BranchId): types.ChatMessage[] {
  const messages: types.ChatMessage[] = []
  for (const { target, outcome } of state.branches.get(branch)?.turns ?? []) {
    if (target.type !== 'model' || outcome.type !== 'message') continue
    for (const message of target.messages) messages.push(message)
    messages.push(outcome.message)
  }
  return messages
}

/** What counts against the budget: finished calls, and as if spent the reservations of open intents and the allowances of earlier homes. */
export function computeSpent (state: states.ProgramState): types.Usage {
  return usages.add(usages.add(state.used, state.reserved), state.forfeited)
}

/**
 * What is left of the budget, never below 0, when `reserved` is held for calls that have no record yet.
 * `now` is wall time.
 */
export function remaining (state: states.ProgramState, reserved: types.Usage, now: types.EpochMs): types.Budget {
  const { budget } = state.start
  const total = usages.add(computeSpent(state), reserved)
  return {
    tokens: Math.max(0, budget.tokens - total.tokens),
    calls: Math.max(0, budget.calls - total.calls),
    microCost: Math.max(0, budget.microCost - total.microCost),
    wallMs: Math.max(0, budget.wallMs - Math.max(0, now - state.at))
  }
}

/** The whole history of a program, for its caller. */
export interface ProgramHistory {
  readonly start: types.ProgramStart
  /** When it began. */
  readonly at: types.EpochMs
  readonly turns: readonly types.Turn[]
  readonly intents: readonly states.OpenIntent[]
  readonly spent: types.Usage
  readonly finished: types.FinishResult | null
}

/** A copy of the history that later records don't change. */
export function historyOf (state: states.ProgramState): ProgramHistory {
  return {
    start: state.start,
    at: state.at,
    turns: [...state.turns],
    intents: [...state.intents.values()],
    spent: computeSpent(state),
    finished: state.finished
  }
}
