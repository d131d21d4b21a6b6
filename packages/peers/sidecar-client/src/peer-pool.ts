/** One client, and so one long-lived session, for each process this one talks to. */
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as clients from './peer-client.js'

export interface PeerPoolSettings {
  readonly timeoutMs: number
  readonly pingIntervalMs: number
  readonly pingTimeoutMs: number
  readonly onSenderReceived: (sender: types.Sender) => void
  readonly onUnavailable: (host: types.HostId, failure: errors.Failure) => void
}

export interface PeerPool {
  /** The client for a host at an address; a host that came back elsewhere gets a new one. */
  get: (host: types.HostId, address: string) => clients.PeerClient
  /** Ends the sessions of hosts that are not in the set. */
  retain: (hosts: ReadonlySet<types.HostId>) => void
  close: () => void
}

interface Entry {
  readonly address: string
  readonly client: clients.PeerClient
}

export function createPeerPool (settings: PeerPoolSettings): PeerPool {
  const entries = new Map<types.HostId, Entry>()

  function open (host: types.HostId, address: string): clients.PeerClient {
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
    entry?.client.close()
    return open(host, address)
  }

  function retain (hosts: ReadonlySet<types.HostId>): void {
    for (const [host, entry] of entries) {
      if (hosts.has(host)) continue
      entries.delete(host)
      entry.client.close()
    }
  }

  return { get, retain, close: () => retain(new Set()) }
}
