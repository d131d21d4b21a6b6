/** Queries on the state of a program. */
import type * as types from '@eelgrasswind/types'
import * as usages from './usage.js'
import type * as states from './state.js'

/** Returns the sequence number of the next new call of a branch; an open intent holds its own. */
export function getNextSeq (state: states.ProgramState, branch: types.BranchId): number {
  const known = state.branches.get(branch)
  if (known === undefined) return 1
  return known.turns.length + (known.openIntent === undefined ? 1 : 2)
}

/** Returns the finished call with a request key. */
export function findTurn (state: states.ProgramState, key: types.RequestKey): types.Turn | undefined {
  return state.turnsByKey.get(key)
}

/** Returns the open intent with a request key. */
export function findIntent (state: states.ProgramState, key: types.RequestKey): states.OpenIntent | undefined {
  return state.intents.get(key)
}

/**
 * Collects the conversation of a branch for the prompt of its next model call: the messages of each successful
 * model call, followed by its answer. Failed calls are left out, because the caller repeats their messages in the
 * next call. Service calls are left out, because the caller includes their results in its messages.
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

/** Computes what counts against the budget: finished calls, reservations of open intents and allowances of earlier homes. */
export function computeSpent (state: states.ProgramState): types.Usage {
  return usages.add(usages.add(state.used, state.reserved), state.forfeited)
}

/**
 * Computes the remaining budget, at least 0 in each member, after subtracting `reserved` for calls that have no
 * record yet. `now` is wall-clock time.
 */
export function computeRemaining (state: states.ProgramState, reserved: types.Usage, now: types.EpochMs): types.Budget {
  const { budget } = state.start
  const total = usages.add(computeSpent(state), reserved)
  return {
    tokens: Math.max(0, budget.tokens - total.tokens),
    calls: Math.max(0, budget.calls - total.calls),
    microCost: Math.max(0, budget.microCost - total.microCost),
    wallMs: Math.max(0, budget.wallMs - Math.max(0, now - state.at))
  }
}

/** The complete history of a program, as its caller sees it. */
export interface ProgramHistory {
  readonly start: types.ProgramStart
  /** When the program began. */
  readonly at: types.EpochMs
  readonly turns: readonly types.Turn[]
  readonly intents: readonly states.OpenIntent[]
  readonly spent: types.Usage
  readonly finished: types.FinishResult | null
}

/** Copies the history, so that later records don't change the copy. */
export function createHistory (state: states.ProgramState): ProgramHistory {
  return {
    start: state.start,
    at: state.at,
    turns: [...state.turns],
    intents: [...state.intents.values()],
    spent: computeSpent(state),
    finished: state.finished
  }
}
