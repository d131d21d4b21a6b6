/** Looks routes up by host and longest path prefix. */
import type * as types from '@eelgrasswind/types'
import type * as routing from './routing.js'

/** An index of the routes of one routing version. */
export interface RouteTable {
  /** Returns the route with the longest matching path prefix; `undefined` if none matches. */
  readonly find: (host: string, path: string) => routing.Route | undefined
}

/** A host's routes by path prefix, and the distinct prefix lengths in descending order. */
interface HostRoutes {
  readonly byPrefix: Map<string, routing.Route>
  prefixLengths: readonly number[]
}

/** Builds the table. A lookup costs one hash probe per distinct prefix length of the host, regardless of the number of routes. */
export function createRouteTable (routes: readonly routing.Route[]): RouteTable {
  const hosts = new Map<string, HostRoutes>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const hostRoutes = hosts.get(host) ?? { byPrefix: new Map<string, routing.Route>(), prefixLengths: [] }
    hostRoutes.byPrefix.set(route.pathPrefix, route)
    hosts.set(host, hostRoutes)
  }
  for (const hostRoutes of hosts.values()) {
    const lengths = new Set([...hostRoutes.byPrefix.keys()].map((prefix) => prefix.length))
    hostRoutes.prefixLengths = [...lengths].sort((a, b) => b - a)
  }
  return { find: (host, path) => findRoute(hosts.get(normalizeHost(host)), path) }
}

/** Strips the port and converts to lower case. */
function normalizeHost (host: string): string {
  const colon = host.indexOf(':')
  const name = colon === -1 ? host : host.slice(0, colon)
  return name.toLowerCase()
}

function findRoute (hostRoutes: HostRoutes | undefined, path: string): routing.Route | undefined {
  if (hostRoutes === undefined) return undefined
  const pathname = stripQuery(path)
  for (const length of hostRoutes.prefixLengths) {
    if (length > pathname.length) continue
    const route = hostRoutes.byPrefix.get(pathname.slice(0, length))
    if (route !== undefined) return route
  }
  return undefined
}

function stripQuery (path: string): string {
  const query = path.indexOf('?')
  return query === -1 ? path : path.slice(0, query)
}

/** Selects a target service at random by weight; `random` is uniform in [0, 1). */
export function chooseService (route: routing.Route, random: () => number): types.ServiceId | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random() * total
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets.at(-1)?.service
}
