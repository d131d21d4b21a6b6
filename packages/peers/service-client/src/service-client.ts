/** Interface of the client of a plain service. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** A call to a service, sent as POST with a JSON body. */
export interface ServiceRequest {
  /** Sent as `x-request-id`. An answer that does not return it is rejected. */
  readonly requestId: string
  readonly path: string
  readonly body: unknown
}

/** A complete answer with a status below 500. */
export interface ServiceAnswer {
  readonly status: number
  /** Parsed JSON; null if the answer has no body. */
  readonly body: unknown
}

export interface CallOptions {
  readonly signal: AbortSignal
  /** W3C trace context, sent as the header of this name. */
  readonly traceparent?: string
}

/**
 * Client of one service. Failures: `upstreamUnavailable` (refused or no connection, verdict `notRun`), `upstreamFailed`
 * (HTTP status of 500 or more, except refusals), `answerBroken` (truncated, too long, no JSON, or with another request's id),
 * `timeout`, `cancelled`. Any other status is an answer.
 */
export interface ServiceClient {
  call: (req: ServiceRequest, options: CallOptions) => Promise<errors.Result<ServiceAnswer>>
  close: () => Promise<void>
}

/** Settings of a service client. */
export interface ServiceSettings {
  readonly upstream: types.UpstreamId
  /** Base URL, as `http://ip:port`. */
  readonly address: string
  /** Maximum size of an answer's body, in bytes. */
  readonly maxAnswerBytes: number
}
