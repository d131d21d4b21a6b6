/** What is recorded of each program of a run. */
import type * as types from '@eelgrasswind/types'
import type * as plan from '../workload/plan.js'

export type CallRecord =
  | { readonly type: 'model', readonly firstTextMs: number, readonly totalMs: number, readonly promptTokens: number, readonly cachedTokens: number, readonly generatedTokens: number }
  | { readonly type: 'service', readonly totalMs: number, readonly askedAgain: AskedAgain }
  | { readonly type: 'failed', readonly code: string, readonly verdict: types.Verdict, readonly expected: boolean }

/** What came of sending a non-idempotent request again under the same key. */
export type AskedAgain = 'no' | 'answeredFromHistory' | 'ranAgain' | 'failed'

export type StartRecord =
  | { readonly type: 'started' }
  | { readonly type: 'refused', readonly code: string, readonly verdict: types.Verdict, readonly retryAfterMs: number | null }

/** How a program ended for its caller. */
export type ProgramEnd = 'finished' | 'refused' | 'failed' | 'budget' | 'abandoned' | 'unfinished'

export interface ProgramRecord {
  readonly index: number
  readonly kind: string
  readonly weight: number
  readonly fate: plan.Fate
  readonly offeredAtMs: number
  readonly deadlineMs: number
  readonly starts: StartRecord[]
  readonly calls: CallRecord[]
  end: ProgramEnd
  /** From the start of the run, in milliseconds. */
  endedAtMs: number
}
