/** What the system asks of a plain service. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

export interface ServiceRequest {
  /** Sent as the request id; an answer that names another one is refused. */
  readonly requestId: string
  readonly path: string
  readonly body: unknown
}

export interface ServiceAnswer {
  readonly status: number
  readonly body: unknown
}

export interface CallOptions {
  readonly signal: AbortSignal
  readonly traceparent?: string
}

/** Failures as for engines; an HTTP status of 500 and over is `upstreamFailed`, below that it is an answer. */
export interface ServiceClient {
  call: (req: ServiceRequest, options: CallOptions) => Promise<errors.Result<ServiceAnswer>>
  close: () => Promise<void>
}

export interface ServiceSettings {
  readonly upstream: types.UpstreamId
  readonly address: string
  /** Most bytes of an answer. */
  readonly maxAnswerBytes: number
}
