/** Operations that the caller HTTP server requires from its process. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** A call as the caller requests it, before defaults are applied. */
export interface CallRequest extends Omit<types.Call, 'idempotent' | 'timeoutMs'> {
  /** Undefined for the configured value of the target. */
  readonly idempotent: boolean | undefined
  /** Undefined for the configured value of the target. */
  readonly timeoutMs: number | undefined
}

/** Handles the requests of callers; a failure becomes the HTTP error response. */
export interface CallerHandlers {
  /** Maps a bearer token to its client account. */
  authorize: (token: string | undefined) => errors.Result<types.ClientId>
  start: (req: types.StartRequest, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  call: (req: CallRequest, ctx: types.RequestContext, sink: types.CallSink) => Promise<errors.Result<types.CallEnd>>
  finish: (program: types.ProgramId, client: types.ClientId, result: types.FinishResult, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  read: (program: types.ProgramId, client: types.ClientId, history: boolean) => Promise<errors.Result<types.ProgramDocument>>
  /** Maximum size of a request body, in bytes; read for each request. */
  getMaxBodyBytes: () => number
}
