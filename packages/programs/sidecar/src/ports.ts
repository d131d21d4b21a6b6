/** Connects the program home to the other processes; requests to this host go directly to its own upstream guard. */
import * as errors from '@eelgrasswind/errors'
import type * as guardUpstream from '@eelgrasswind/guard-upstream'
import type * as processBase from '@eelgrasswind/process-base'
import type * as programHome from '@eelgrasswind/program-home'
import type * as types from '@eelgrasswind/types'

/** Creates the port for dispatches, seals and prefix holds. */
export function createDispatchPort (self: types.HostId, guard: guardUpstream.UpstreamGuard, directory: processBase.HostDirectory): programHome.DispatchPort {
  return {
    dispatch: (host, dispatch, ctx, signal, onDelta) => host === self
      ? guard.dispatch(dispatch, ctx, signal, onDelta)
      : directory.callPeer(host, (peer) => peer.dispatch(dispatch, ctx, signal, onDelta)),
    seal: (host, seal) => host === self ? guard.seal(seal) : directory.callPeer(host, (peer) => peer.seal(seal)),
    hold: (host, program, term, upstream, holdMs) => host === self
      ? guard.hold(program, term, upstream, holdMs)
      : directory.callPeer(host, (peer) => peer.hold(program, term, upstream, holdMs)),
    drop: (host, program, term, upstream) => host === self
      ? guard.drop(program, term, upstream)
      : directory.callPeer(host, (peer) => peer.drop(program, term, upstream))
  }
}

/** Creates the port for states and incarnations of hosts. */
export function createHostsPort (self: types.HostId, directory: processBase.HostDirectory): programHome.HostsPort {
  return {
    stateOf: (host) => directory.stateOf(host),
    getIncarnation: (host) => directory.getIncarnation(host),
    async fetchIncarnation (host) {
      const status = await directory.callPeer(host, (peer) => peer.getStatus())
      return status.ok ? errors.ok(status.value.incarnation) : status
    },
    isFirstChoice: (program) => directory.rankHomes(program)[0] === self,
    requestRelease: (host, program) => directory.callPeer(host, (peer) => peer.release(program, self))
  }
}
