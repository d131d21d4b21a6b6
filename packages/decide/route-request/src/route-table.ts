/** Looks routes up by host and longest path prefix. */
import type * as types from '@eelgrasswind/types'
import type * as routing from './routing.js'

/** The routes of one version, arranged for lookups. */
export interface RouteTable {
  /** The route whose prefix is the longest that begins the path; `undefined` where no route matches. */
  readonly find: (host: string, path: string) => routing.Route | undefined
}

/** A host's routes by prefix, and the lengths that occur, longest first. */
interface HostRoutes {
  readonly byPrefix: Map<string, routing.Route>
  lengths: readonly number[]
}

/** A lookup costs one hash probe for each distinct prefix length of the host, whatever the number of routes. */
export function createRouteTable (routes: readonly routing.Route[]): RouteTable {
  const hosts = new Map<string, HostRoutes>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const entry = hosts.get(host) ?? { byPrefix: new Map<string, routing.Route>(), lengths: [] }
    entry.byPrefix.set(route.pathPrefix, route)
    hosts.set(host, entry)
  }
  for (const entry of hosts.values()) {
    const lengths = new Set([...entry.byPrefix.keys()].map((prefix) => prefix.length))
    entry.lengths = [...lengths].sort((a, b) => b - a)
  }
  return { find: (host, path) => findRoute(hosts.get(hostName(host)), path) }
}

/** The host without its port, in lower case. */
function hostName (host: string): string {
  const colon = host.indexOf(':')
  const name = colon === -1 ? host : host.slice(0, colon)
  return name.toLowerCase()
}

function findRoute (entry: HostRoutes | undefined, path: string): routing.Route | undefined {
  if (entry === undefined) return undefined
  const bare = withoutQuery(path)
  for (const length of entry.lengths) {
    if (length > bare.length) continue
    const route = entry.byPrefix.get(bare.slice(0, length))
    if (route !== undefined) return route
  }
  return undefined
}

function withoutQuery (path: string): string {
  const query = path.indexOf('?')
  return query === -1 ? path : path.slice(0, query)
}

/** Draws a service by weight; `random` is uniform in [0, 1). */
export function chooseService (route: routing.Route, random: () => number): types.ServiceId | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let left = random() * total
  for (const target of route.targets) {
    left -= target.weight
    if (left < 0) return target.service
  }
  return route.targets.at(-1)?.service
}
