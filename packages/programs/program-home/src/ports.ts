/** Interfaces that a home needs from the process it runs in. */
import type * as configState from '@eelgrasswind/config-state'
import type * as errors from '@eelgrasswind/errors'
import type * as placeCall from '@eelgrasswind/place-call'
import type * as types from '@eelgrasswind/types'

/** State of a host as seen by this process. */
export type HostState = 'live' | 'leaving' | 'suspect' | 'gone'

/** Membership and the requests to other homes. */
export interface HostsPort {
  stateOf: (host: types.HostId) => HostState
  /** Incarnation from the host's latest answer; undefined before the first answer. */
  getIncarnation: (host: types.HostId) => types.Incarnation | undefined
  /** Asks a host for the current incarnation of its process. */
  fetchIncarnation: (host: types.HostId) => Promise<errors.Result<types.Incarnation>>
  /** Whether this process ranks first as the home of a program. */
  isFirstChoice: (program: types.ProgramId) => boolean
  /** Asks another home to release a program; false if it is not its home. */
  requestRelease: (host: types.HostId, program: types.ProgramId) => Promise<errors.Result<boolean>>
}

/** Requests to the sidecars of upstreams, this one included. */
export interface DispatchPort {
  /** Dispatches a call to an upstream; `onDelta` gets the text of a streamed answer. */
  dispatch: (host: types.HostId, dispatch: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void) => Promise<errors.Result<types.DispatchAnswer>>
  /** Seals a request key, so that it can't run any more, or returns how the request ended. */
  seal: (host: types.HostId, seal: types.Seal) => Promise<errors.Result<types.SealState>>
  /** Holds a program's prefix in the upstream's cache for `holdMs`. */
  hold: (host: types.HostId, program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number) => Promise<errors.Result<void>>
  /** Releases a held prefix. */
  drop: (host: types.HostId, program: types.ProgramId, term: types.Term, upstream: types.UpstreamId) => Promise<errors.Result<void>>
}

/** Candidate upstreams and their load. */
export interface UpstreamsPort {
  /** Returns a bounded sample of the upstreams that serve a target. It always includes the preferred ones. */
  listCandidates: (target: types.CallTarget, preferred: readonly types.UpstreamId[]) => readonly placeCall.Candidate[]
  recordCallStart: (upstream: types.UpstreamId) => void
  recordCallEnd: (upstream: types.UpstreamId, load: types.UpstreamLoad | null) => void
  /** Records how long an answer took to grow by so many tokens, to detect slow engines. */
  recordSpeed: (upstream: types.UpstreamId, tokens: number, elapsedMs: number) => void
}

/** Returns the current configuration. */
export type ConfigPort = () => configState.Config
