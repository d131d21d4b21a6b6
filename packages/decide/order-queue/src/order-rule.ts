/** Rules that order waiting calls. */
import type * as types from '@eelgrasswind/types'

/** Properties of a waiting call that rules use; times are in milliseconds on the clock passed to `pop`. */
export interface WaitingCall {
  readonly program: types.ProgramId
  readonly kind: types.KindId
  /** Weight of the program's kind, above 0; 1 is ordinary. */
  readonly weight: number
  /** Deadline of the program. */
  readonly deadline: number
  /** When the call began to wait. */
  readonly enqueuedAt: number
  /** Attained service: uncached prompt tokens and generated tokens of the program so far. */
  readonly attainedTokens: number
  /** Expected remaining time of the program without queueing, this call included, in milliseconds. */
  readonly expectedRemainingMs: number
}

/** A bound on starvation: calls that have waited this long come before all others. */
interface StarvationBound {
  readonly starvationMs: number
}

/** The configured order of the queue. */
export type OrderRule =
  /** First in, first out. */
  | { readonly type: 'fifo' }
  /** Earliest deadline of the program first. */
  | { readonly type: 'earliestDeadline' } & StarvationBound
  /** The program with the least attained service first. */
  | { readonly type: 'leastAttained' } & StarvationBound
  /**
   * Least slack (deadline less expected remaining time) first, where each doubling of the weight counts as
   * `weightMs` less slack. With `lateLast`, programs that can no longer finish in time come after all others.
   */
  | { readonly type: 'weightedSlack', readonly weightMs: number, readonly lateLast: boolean } & StarvationBound

/** Why a call was selected. */
export type OrderReason =
  | { readonly type: 'oldest', readonly waitedMs: number }
  | { readonly type: 'starving', readonly waitedMs: number, readonly boundMs: number }
  | { readonly type: 'earliestDeadline', readonly leftMs: number }
  | { readonly type: 'leastAttained', readonly attainedTokens: number }
  | { readonly type: 'leastSlack', readonly slackMs: number, readonly weight: number }
  /** The program can no longer finish in time, and no call of a program that still can was waiting. */
  | { readonly type: 'late', readonly slackMs: number, readonly weight: number }

/** The rule that is used if the configuration sets none. */
export const defaultOrderRule: OrderRule = { type: 'weightedSlack', weightMs: 20_000, lateLast: false, starvationMs: 180_000 }

/** Slack: the time that a program can wait and still finish in time, in milliseconds; negative if it is already late. */
export function computeSlackMs (call: WaitingCall, now: number): number {
  return call.deadline - now - call.expectedRemainingMs
}
