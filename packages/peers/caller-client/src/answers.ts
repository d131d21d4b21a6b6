/** Results of the caller HTTP interface, as the client returns them. */
import type * as types from '@eelgrasswind/types'

/** A refused or failed request, with its HTTP status; status 0 where no complete response was received. */
export interface CallerFailure {
  readonly status: number
  readonly code: string
  readonly message: string
  readonly verdict: types.Verdict
  /** The invalid request field, for validation errors. */
  readonly field: string | null
  readonly retryAfterMs: number | null
}

/** The value of a successful request, or why it failed. */
export type CallerResult<T> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly failure: CallerFailure }

/** Metadata at the end of a complete answer, with the length and digest that its text must match. */
export interface AnswerTrailer {
  readonly key: string
  readonly branch: string
  readonly seq: number
  /** Length of the text in UTF-16 code units. */
  readonly length: number
  /** SHA-256 of the text as UTF-8, in hex. */
  readonly sha256: string
  /** Whether the answer was read from the history, without a new upstream call. */
  readonly repeated: boolean
  readonly upstream: string
  readonly usage: types.Usage
}

/** A complete chat completion. */
export interface Completion {
  readonly text: string
  readonly finishReason: string
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly generatedTokens: number
  readonly trailer: AnswerTrailer
  /** Time from sending the request to the first text, in milliseconds. */
  readonly firstTextMs: number
  readonly totalMs: number
}

/** A complete reply of a service: the HTTP status and JSON body that the service returned. */
export interface ServiceReply {
  readonly status: number
  readonly body: unknown
  readonly trailer: AnswerTrailer
  readonly totalMs: number
}

/** A program's summary and its recorded turns. */
export interface ProgramHistory {
  readonly program: types.ProgramSummary
  readonly history: readonly types.Turn[]
}
