/** What the interface answers, as a caller sees it. */
import type * as types from '@eelgrasswind/types'

/** A refusal or failure, with its HTTP status. */
export interface CallerFailure {
  readonly status: number
  readonly code: string
  readonly message: string
  readonly verdict: types.Verdict
  readonly field: string | null
  readonly retryAfterMs: number | null
}

export type CallerResult<T> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly failure: CallerFailure }

/** What closes a whole answer. */
export interface AnswerTrailer {
  readonly key: string
  readonly branch: string
  readonly seq: number
  readonly length: number
  readonly sha256: string
  readonly repeated: boolean
  readonly upstream: string
  readonly usage: types.Usage
}

export interface Completion {
  readonly text: string
  readonly finishReason: string
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly generatedTokens: number
  readonly trailer: AnswerTrailer
  /** From sending the request to the first piece of text, in milliseconds. */
  readonly firstTextMs: number
  readonly totalMs: number
}

export interface ServiceReply {
  readonly status: number
  readonly body: unknown
  readonly trailer: AnswerTrailer
  readonly totalMs: number
}

export interface ProgramHistory {
  readonly program: types.ProgramSummary
  readonly history: readonly types.Turn[]
}
