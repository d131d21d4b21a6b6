/** Lists of hosts for one purpose, taken from a view; the same array as long as its content is the same. */
import type * as types from '@eelgrasswind/types'
import type * as membership from './membership.js'

/**
 * Least share of a selection that must be live; below it the process doubts its own view (its network is likely at
 * fault) and also selects suspect hosts. Under a half, so that losing one of two availability zones is believed.
 */
export const minLiveFraction = 1 / 3

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

/** A selector of the hosts for new work that match; it does its work once a version of the view. */
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
