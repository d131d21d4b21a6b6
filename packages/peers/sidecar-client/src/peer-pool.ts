/** Pool of peer clients: one client, and so one long-lived HTTP/2 session, for each host. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as clients from './peer-client.js'

/** Settings of the pool's clients; see PeerClientSettings. */
export interface PeerPoolSettings {
  readonly timeoutMs: number
  readonly pingIntervalMs: number
  readonly pingTimeoutMs: number
  readonly onSenderReceived: (sender: types.Sender) => void
  readonly onUnavailable: (host: types.HostId, failure: errors.Failure) => void
}

export interface PeerPool {
  /** The client for a host; a host whose address changed gets a new client, and its old one is closed once its requests in flight have ended. */
  get: (host: types.HostId, address: string) => clients.PeerClient
  /** Closes the clients of hosts that are not in the set, once their requests in flight have ended. */
  retain: (hosts: ReadonlySet<types.HostId>) => void
  /** Closes all clients at once. */
  close: () => void
}

interface PoolEntry {
  readonly address: string
  readonly client: clients.PeerClient
}

export function createPeerPool (settings: PeerPoolSettings): PeerPool {
  const entries = new Map<types.HostId, PoolEntry>()
  const retiredClients = new Set<clients.PeerClient>()

  function openClient (host: types.HostId, address: string): clients.PeerClient {
    const client = clients.createPeerClient({
      address,
      timeoutMs: settings.timeoutMs,
      pingIntervalMs: settings.pingIntervalMs,
      pingTimeoutMs: settings.pingTimeoutMs,
      onSenderReceived: settings.onSenderReceived,
      onUnavailable: (failure) => settings.onUnavailable(host, failure)
    })
    entries.set(host, { address, client })
    return client
  }

  function get (host: types.HostId, address: string): clients.PeerClient {
    const entry = entries.get(host)
    if (entry?.address === address) return entry.client
    if (entry !== undefined) retireClient(entry.client)
    return openClient(host, address)
  }

  function retireClient (client: clients.PeerClient): void {
    retiredClients.add(client)
    client.retire(() => { retiredClients.delete(client) })
  }

  function retain (hosts: ReadonlySet<types.HostId>): void {
    for (const [host, entry] of entries) {
      if (hosts.has(host)) continue
      entries.delete(host)
      retireClient(entry.client)
    }
  }

  function close (): void {
    for (const { client } of entries.values()) client.close()
    for (const client of retiredClients) client.close()
    entries.clear()
    retiredClients.clear()
  }

  return { get, retain, close }
}
