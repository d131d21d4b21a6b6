/** What one process of the system may ask of another; clients and servers share these interfaces. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** Requests to the home of a program. */
export interface HomeHandlers {
  start: (start: types.StartRequest, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  call: (call: types.Call, ctx: types.RequestContext, sink: types.CallSink) => Promise<errors.Result<types.CallEnd>>
  finish: (program: types.ProgramId, result: types.FinishResult, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  read: (program: types.ProgramId, history: boolean) => Promise<errors.Result<types.ProgramDocument>>
  /** Asks the receiver to let go of a program; false where it was not its home. */
  release: (program: types.ProgramId, askedBy: types.HostId) => Promise<errors.Result<boolean>>
  list: (limit: number) => Promise<errors.Result<readonly types.ProgramSummary[]>>
}

/** Requests to the sidecar beside an upstream. */
export interface UpstreamHandlers {
  dispatch: (dispatch: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void) => Promise<errors.Result<types.DispatchAnswer>>
  seal: (seal: types.Seal) => Promise<errors.Result<types.SealState>>
  /** Keeps a program's cached prefix for at most holdMs. */
  hold: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number) => Promise<errors.Result<void>>
  drop: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId) => Promise<errors.Result<void>>
}

/** A configuration and its version, as a peer has it; its shape is checked by the receiver. */
export interface PeerConfig {
  readonly version: types.ConfigVersion
  readonly config: unknown
}

/** Requests to any process. */
export interface ProcessHandlers {
  getStatus: () => Promise<errors.Result<types.ProcessStatus>>
  /** Null where the receiver has nothing newer. */
  getConfig: (have: types.ConfigVersion) => Promise<errors.Result<PeerConfig | null>>
  explain: (program: types.ProgramId, key: types.RequestKey | null) => Promise<errors.Result<types.CallExplanation>>
  getLoads: () => Promise<errors.Result<readonly types.UpstreamLoad[]>>
}

/** Requests to the owner of a client's limit. */
export interface LimitHandlers {
  borrowShare: (wish: types.ShareRequest) => Promise<errors.Result<types.ShareLease>>
}

/** Everything that a sidecar answers. */
export interface Peer extends HomeHandlers, UpstreamHandlers, ProcessHandlers, LimitHandlers {}
