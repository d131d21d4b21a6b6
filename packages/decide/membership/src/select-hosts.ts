/** Selects hosts for new work from a view; returns the same array while its content does not change. */
import type * as types from '@eelgrasswind/types'
import type * as membership from './membership.js'

/**
 * Minimum share of live hosts in a selection (panic threshold). Below it, this process's own network is likely at fault,
 * and suspect hosts are selected too. Less than a half, so that the loss of one of two availability zones is accepted.
 */
export const minLiveFraction = 1 / 3

/** Returns the selected hosts of a view. */
export type HostSelector = (view: membership.MembershipView) => readonly types.HostId[]

function isSameHosts (a: readonly types.HostId[], b: readonly types.HostId[]): boolean {
  return a.length === b.length && a.every((host, index) => host === b[index])
}

function selectHosts (view: membership.MembershipView, matches: (entry: types.HostEntry) => boolean): types.HostId[] {
  const reachable = view.hosts.filter((host) => (host.state === 'live' || host.state === 'suspect') && matches(host.entry))
  const live = reachable.filter((host) => host.state === 'live')
  const chosen = live.length < reachable.length * minLiveFraction ? reachable : live
  return chosen.map((host) => host.entry.host)
}

/** Creates a selector of the matching hosts for new work; it computes the selection once per version of the view. */
export function createHostSelector (matches: (entry: types.HostEntry) => boolean): HostSelector {
  let version = -1
  let hosts: readonly types.HostId[] = []
  return (view) => {
    if (view.version === version) return hosts
    version = view.version
    const selected = selectHosts(view, matches)
    if (!isSameHosts(selected, hosts)) hosts = selected
    return hosts
  }
}
