/** What the HTTP interface asks of the process behind it. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** A call as a caller asks for it. */
export interface CallRequest extends Omit<types.Call, 'idempotent' | 'timeoutMs'> {
  /** Undefined: as the configuration says of its target. */
  readonly idempotent: boolean | undefined
  readonly timeoutMs: number | undefined
}

export interface CallerHandlers {
  authorize: (token: string | undefined) => errors.Result<types.ClientId>
  start: (req: types.StartRequest, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  call: (req: CallRequest, ctx: types.RequestContext, sink: types.CallSink) => Promise<errors.Result<types.CallEnd>>
  finish: (program: types.ProgramId, client: types.ClientId, result: types.FinishResult, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  read: (program: types.ProgramId, client: types.ClientId, history: boolean) => Promise<errors.Result<types.ProgramDocument>>
  /** Largest request body, in bytes. */
  getMaxBodyBytes: () => number
}
