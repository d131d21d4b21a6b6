/** Sends this process's load to the others and takes theirs in. Lost datagrams cost accuracy, nothing else. */
import * as dgram from 'node:dgram'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as loadMessage from './load-message.js'

/** What a sharer needs from its process. */
export interface LoadSharerPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly loads: trackUpstreams.PeerLoads
  /** Addresses of the other processes that are known otherwise, IP:PORT; those that sent a report are added. */
  readonly peers: () => readonly string[]
  /** Another process reports marks. */
  readonly onMarks: (marks: readonly trackUpstreams.MarkReport[]) => void
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Time between two datagrams to each peer, in ms: less than a turn of an agent program takes. At 110 they were a sixth of the processor time. */
const periodMs = 150
/** Without change a report is repeated after this time, in ms: three fit into the life of a report. */
const repeatMs = 450
/** Peers told each time: 48 datagrams take about 1 ms of a process; larger fleets see a sample of one another. */
const mostPeers = 48

/** One process's side of the exchange. */
export class LoadSharer {
  private readonly socket: dgram.Socket
  private readonly marks = new Map<string, trackUpstreams.MarkReport>()
  private subscription: timerService.Subscription | undefined
  private lastSent = ''
  private lastSentAt = -Infinity
  private failing = false
  private closed = false

  constructor (private readonly address: string, private readonly ports: LoadSharerPorts) {
    // Addresses are numbers: nothing is looked up.
    this.socket = dgram.createSocket({ type: 'udp4', lookup: (host, _options, done) => { done(null, host, 4) } })
    this.socket.on('message', (bytes, from) => { this.receive(bytes, `${from.address}:${from.port}`) })
    this.socket.on('error', (err) => { this.noteFailure(err) })
  }

  /** Resolves when reports are taken in. */
  start (): Promise<void> {
    const [host, port] = this.address.split(':')
    this.subscription = this.ports.timers.every(periodMs, () => { this.tick() })
    return new Promise((resolve) => { this.socket.bind(Number(port), host, resolve) })
  }

  close (): void {
    if (this.closed) return
    this.closed = true
    this.subscription?.cancel()
    this.socket.close()
  }

  /** Something went wrong with one request; the others hear of it with the next datagram. */
  mark (upstream: types.UpstreamId, mark: trackUpstreams.Mark): void {
    const key = `${mark} ${upstream}`
    this.marks.set(key, { upstream, mark, count: (this.marks.get(key)?.count ?? 0) + 1 })
  }

  private tick (): void {
    const { loads, timers, upstreams } = this.ports
    const now = timers.monotonic()
    loads.expire(now)
    const running = new Map<types.UpstreamId, number>()
    for (const upstream of upstreams.all()) {
      if (upstream.running > 0) running.set(upstream.listed.id, upstream.running)
    }
    const bytes = Buffer.from(loadMessage.encodeLoad({ running, marks: [...this.marks.values()] }))
    const text = bytes.toString('latin1')
    if (text === this.lastSent && now - this.lastSentAt < repeatMs) return
    this.marks.clear()
    this.lastSent = text
    this.lastSentAt = now
    for (const peer of this.chosenPeers()) this.send(bytes, peer)
  }

  private chosenPeers (): string[] {
    const all = [...new Set([...this.ports.peers(), ...this.ports.loads.peers])]
    if (all.length <= mostPeers) return all
    const first = Math.floor(this.ports.random() * all.length)
    return Array.from({ length: mostPeers }, (_, index) => all[(first + index) % all.length]!)
  }

  private send (bytes: Buffer, peer: string): void {
    const [host, port] = peer.split(':')
    this.socket.send(bytes, Number(port), host, (err) => {
      if (err === null) this.failing = false
      else this.noteFailure(err)
    })
  }

  private receive (bytes: Buffer, from: string): void {
    try {
      const { running, marks } = loadMessage.decodeLoad(bytes)
      this.ports.loads.report(from, running, this.ports.timers.monotonic())
      if (marks.length > 0) this.ports.onMarks(marks)
    } catch (err) {
      this.ports.decisions.note({ event: 'loadReportUnreadable', from, err })
    }
  }

  /** Told once until a datagram goes out again. */
  private noteFailure (err: Error): void {
    if (this.closed || this.failing) return
    this.failing = true
    this.ports.decisions.note({ event: 'loadNotShared', err })
  }
}
