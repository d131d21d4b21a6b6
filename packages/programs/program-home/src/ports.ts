/** What a home needs from the process around it. */
import type * as configState from '@eelgrasswind/config-state'
import type * as errors from '@eelgrasswind/errors'
import type * as placeCall from '@eelgrasswind/place-call'
import type * as types from '@eelgrasswind/types'

/** A host's state as this process believes it. */
export type HostState = 'live' | 'leaving' | 'suspect' | 'gone'

/** The other processes of the system. */
export interface HostsPort {
  stateOf: (host: types.HostId) => HostState
  /** The run that answered last; undefined before the first answer. */
  getIncarnation: (host: types.HostId) => types.Incarnation | undefined
  /** Asks a host which run of its process is up now. */
  fetchIncarnation: (host: types.HostId) => Promise<errors.Result<types.Incarnation>>
  /** Whether this process is the first choice as the home of a program. */
  isFirstChoice: (program: types.ProgramId) => boolean
  /** Asks another home to let go of a program. */
  requestRelease: (host: types.HostId, program: types.ProgramId) => Promise<errors.Result<boolean>>
}

/** The sidecars beside upstreams, this one included. */
export interface DispatchPort {
  dispatch: (host: types.HostId, dispatch: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void) => Promise<errors.Result<types.DispatchAnswer>>
  seal: (host: types.HostId, seal: types.Seal) => Promise<errors.Result<types.SealState>>
  hold: (host: types.HostId, program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number) => Promise<errors.Result<void>>
  drop: (host: types.HostId, program: types.ProgramId, term: types.Term, upstream: types.UpstreamId) => Promise<errors.Result<void>>
}

/** Where calls may go, from the configuration and what is known of the hosts. */
export interface UpstreamsPort {
  /** A bounded sample of the upstreams that serve a target, those named first always among them. */
  listCandidates: (target: types.CallTarget, preferred: readonly types.UpstreamId[]) => readonly placeCall.Candidate[]
  recordCallStart: (upstream: types.UpstreamId) => void
  recordCallEnd: (upstream: types.UpstreamId, load: types.UpstreamLoad | null) => void
  /** Pieces of an answer that came in a time, to notice an engine that is slow. */
  recordSpeed: (upstream: types.UpstreamId, tokens: number, elapsedMs: number) => void
}

export type ConfigPort = () => configState.Config
