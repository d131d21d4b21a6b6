/** Watches upstreams for a while and tells when one of them ends, by the connections that it closes. */
import * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** Dependencies of `UpstreamWatch`. */
export interface UpstreamWatchPorts {
  readonly timers: timerService.TimerService
  readonly connections: Pick<sendHttp.OpenConnections, 'list' | 'onClose'>
  /** Opens a connection that stays idle, and counts among `connections`. */
  readonly openIdleConnection: (address: string) => Promise<sendHttp.IdleConnection>
  /** Examines an upstream that has closed a connection just now. */
  readonly examine: (upstream: trackUpstreams.Upstream) => Promise<sendHttp.ProcessEvidence>
  readonly onEnded: (upstream: trackUpstreams.Upstream, evidence: sendHttp.ProcessEvidence) => void
}

/** Idle connections that are opened for one watch: an overloaded upstream resets them. */
const maxIdleConnections = 3
/** A process that ends closes its connections within this time of each other, in ms. */
const closingMs = 5

/** Watches the upstreams whose requests were given up. One idle connection is opened where no other is open. */
export class UpstreamWatch {
  private readonly watched = new Map<types.UpstreamId, WatchedUpstream>()

  constructor (private readonly ports: UpstreamWatchPorts) {}

  /** Watches an upstream until that time at least, in monotonic ms. `mayConnect`: a connection may be opened for it. */
  watch (upstream: trackUpstreams.Upstream, until: number, mayConnect: boolean): void {
    const { id } = upstream.listed
    const known = this.watched.get(id)
    if (known !== undefined) {
      known.extend(until, mayConnect)
      return
    }
    this.watched.set(id, new WatchedUpstream(this.ports, upstream, until, mayConnect, () => { this.watched.delete(id) }))
  }

  /** Resolves once it is known whether the upstream has ended; `undefined` if nothing raises the question. */
  getExamination (upstream: types.UpstreamId): Promise<void> | undefined {
    return this.watched.get(upstream)?.examination
  }

  /** Ends the watch of an upstream that is known to have ended. */
  drop (upstream: types.UpstreamId): void {
    this.watched.get(upstream)?.stop()
  }

  close (): void {
    for (const watched of [...this.watched.values()]) watched.stop()
  }
}

class WatchedUpstream {
  private readonly stopListening: () => void
  private expiry: timerService.Subscription
  private idleConnection: { readonly close: () => void } | undefined
  /** Until it is known whether the upstream, which has closed a connection, has ended. */
  examination: Promise<void> | undefined
  private isConnecting = false
  private idleConnectionsLeft = maxIdleConnections
  private isStopped = false

  constructor (
    private readonly ports: UpstreamWatchPorts,
    private readonly upstream: trackUpstreams.Upstream,
    private until: number,
    private mayConnect: boolean,
    private readonly onStop: () => void
  ) {
    this.stopListening = ports.connections.onClose(this.address, (byPeer) => { this.onConnectionClosed(byPeer) })
    this.expiry = this.startExpiry()
    this.keepConnected()
  }

  extend (until: number, mayConnect: boolean): void {
    this.mayConnect ||= mayConnect
    if (until > this.until) {
      this.until = until
      this.expiry.cancel()
      this.expiry = this.startExpiry()
    }
    this.keepConnected()
  }

  stop (): void {
    if (this.isStopped) return
    this.isStopped = true
    this.expiry.cancel()
    this.stopListening()
    this.idleConnection?.close()
    this.onStop()
  }

  private get address (): string {
    return this.upstream.listed.address
  }

  private startExpiry (): timerService.Subscription {
    return this.ports.timers.after(Math.max(0, this.until - this.ports.timers.monotonic()), () => { this.stop() })
  }

  private onConnectionClosed (byPeer: boolean): void {
    if (!byPeer) this.keepConnected()
    else this.examination ??= this.examineIfAllClosed().finally(() => { this.examination = undefined })
  }

  /** While another connection stays open the upstream goes on. */
  private async examineIfAllClosed (): Promise<void> {
    const { connections, examine, timers } = this.ports
    const others = connections.list(this.address)
    if (others.length > 0) await timerService.sleep(timers, closingMs)
    if (this.isStopped || !others.every((socket) => socket.destroyed)) return
    const evidence = await examine(this.upstream)
    if (this.isStopped) return
    if (sendHttp.hasEnded(evidence)) this.end(evidence)
    else this.keepConnected()
  }

  /** Opens an idle connection if no other is left that would show the end of the upstream. */
  private keepConnected (): void {
    if (!this.mayConnect || this.isConnecting || this.isStopped || this.idleConnectionsLeft === 0 || this.ports.connections.list(this.address).length > 0) return
    this.isConnecting = true
    this.idleConnectionsLeft -= 1
    void this.ports.openIdleConnection(this.address).then((opened) => { this.onIdleConnection(opened) })
  }

  private onIdleConnection (opened: sendHttp.IdleConnection): void {
    this.isConnecting = false
    switch (opened.outcome) {
      case 'accepted':
        if (this.isStopped) opened.close()
        else this.idleConnection = opened
        return
      case 'refused': return this.end('ended')
      case 'noAnswer':
        // A stall of this process looks the same.
        if (this.idleConnectionsLeft > 0) this.keepConnected()
        else this.end('unreachable')
    }
  }

  private end (evidence: sendHttp.ProcessEvidence): void {
    if (this.isStopped) return
    this.stop()
    this.ports.onEnded(this.upstream, evidence)
  }
}
