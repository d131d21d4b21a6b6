/** Requests between processes; the interfaces are shared by clients and servers. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** Requests to the home of a program: the sidecar that owns its state. */
export interface HomeHandlers {
  start: (start: types.StartRequest, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  call: (call: types.Call, ctx: types.RequestContext, sink: types.CallSink) => Promise<errors.Result<types.CallEnd>>
  finish: (program: types.ProgramId, result: types.FinishResult, ctx: types.RequestContext) => Promise<errors.Result<types.ProgramDocument>>
  read: (program: types.ProgramId, history: boolean) => Promise<errors.Result<types.ProgramDocument>>
  /** Asks the receiver to hand over a program; false if it was not the program's home. */
  release: (program: types.ProgramId, requestedBy: types.HostId) => Promise<errors.Result<boolean>>
  list: (limit: number) => Promise<errors.Result<readonly types.ProgramSummary[]>>
}

/** Requests to the sidecar on the host of an upstream. */
export interface UpstreamHandlers {
  dispatch: (dispatch: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void) => Promise<errors.Result<types.DispatchAnswer>>
  /** Reports what became of a call by its key, and prevents a key not yet seen from running here later. */
  seal: (seal: types.Seal) => Promise<errors.Result<types.SealState>>
  /** Keeps a program's prefix in the upstream's cache for at most holdMs. */
  hold: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number) => Promise<errors.Result<void>>
  /** Releases the cached prefix that is held for a program. */
  drop: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId) => Promise<errors.Result<void>>
}

/** A peer's configuration and its version; the receiver validates it. */
export interface PeerConfig {
  readonly version: types.ConfigVersion
  readonly config: unknown
}

/** Requests to any process. */
export interface ProcessHandlers {
  getStatus: () => Promise<errors.Result<types.ProcessStatus>>
  /** Null if the receiver has no newer version. */
  getConfig: (haveVersion: types.ConfigVersion) => Promise<errors.Result<PeerConfig | null>>
  /** Explains the decisions about a program or, with a key, about one of its calls. */
  explain: (program: types.ProgramId, key: types.RequestKey | null) => Promise<errors.Result<types.CallExplanation>>
  /** Loads of the receiver's upstreams; empty for an entry. */
  getLoads: () => Promise<errors.Result<readonly types.UpstreamLoad[]>>
}

/** Requests to the owner of a client's limit. */
export interface LimitHandlers {
  /** Lends the requester a share of the limit for a limited time. */
  borrowShare: (request: types.ShareRequest) => Promise<errors.Result<types.ShareLease>>
}

/** All requests that a sidecar serves. */
export interface SidecarHandlers extends HomeHandlers, UpstreamHandlers, ProcessHandlers, LimitHandlers {}
