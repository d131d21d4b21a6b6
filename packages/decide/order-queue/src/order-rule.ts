/** The rules by which waiting calls are ordered. */
import type * as types from '@eelgrasswind/types'

/** What a rule may look at; times are in milliseconds on the clock that `pop` is given. */
export interface WaitingCall {
  readonly program: types.ProgramId
  readonly kind: types.KindId
  /** Weight of the program's kind, above 0; 1 is ordinary. */
  readonly weight: number
  /** When the program has to be finished. */
  readonly deadline: number
  /** When the call began to wait. */
  readonly enqueuedAt: number
  /** Tokens that the program has been served so far, prompt (not cached) and generated. */
  readonly attainedTokens: number
  /** Expected time to the end of the program from now on if nothing waits, this call included, in milliseconds. */
  readonly expectedRemainingMs: number
}

/** A bound on starvation: a call that has waited this long goes before all that have not. */
interface StarvationBound {
  readonly starvationMs: number
}

export type OrderRule =
  /** First come, first served. */
  | { readonly type: 'fifo' }
  /** Earliest deadline of the program first. */
  | { readonly type: 'earliestDeadline' } & StarvationBound
  /** The program that has been served the fewest tokens first. */
  | { readonly type: 'leastAttained' } & StarvationBound
  /**
   * Least slack (deadline less expected remaining time) first, where each doubling of the weight counts as
   * `weightMs` less slack. With `lateLast`, programs that can no longer finish in time come after all that can.
   */
  | { readonly type: 'weightedSlack', readonly weightMs: number, readonly lateLast: boolean } & StarvationBound

/** Why a call was taken from the queue. */
export type OrderReason =
  | { readonly type: 'oldest', readonly waitedMs: number }
  | { readonly type: 'starving', readonly waitedMs: number, readonly boundMs: number }
  | { readonly type: 'earliestDeadline', readonly leftMs: number }
  | { readonly type: 'leastAttained', readonly attainedTokens: number }
  | { readonly type: 'leastSlack', readonly slackMs: number, readonly weight: number }
  /** It can no longer finish in time, and nothing that still can was waiting. */
  | { readonly type: 'late', readonly slackMs: number, readonly weight: number }

/** The rule in force where the configuration names none. */
export const defaultOrderRule: OrderRule = { type: 'weightedSlack', weightMs: 20_000, lateLast: false, starvationMs: 180_000 }

/** Time by which a program may still wait and finish in time, in milliseconds; negative when it is late already. */
export function computeSlackMs (call: WaitingCall, now: number): number {
  return call.deadline - now - call.expectedRemainingMs
}
