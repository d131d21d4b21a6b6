/** Exchanges load reports with the other processes by UDP. A lost datagram only costs accuracy. */
import * as dgram from 'node:dgram'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as loadMessage from './load-message.js'

/** Dependencies of a load sharer. */
export interface LoadSharerPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  readonly loads: trackUpstreams.PeerLoads
  /** Known addresses of other processes, IP:PORT; senders of received reports are added to them. */
  readonly peers: () => readonly string[]
  /** Called with the failed or slow requests that another process reported. */
  readonly onMarksReceived: (marks: readonly trackUpstreams.MarkReport[]) => void
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/**
 * Interval between two ticks, in ms. Each datagram wakes its receiver: at 150 ms, 29 processes under low load used a
 * quarter more processor time than without reports.
 */
const tickIntervalMs = 400
/** An unchanged report is repeated within this many ticks: receivers take a peer that does not report for silent, and discard its report. */
const repeatTicks = 3
/** Peers served in one tick; larger sets are served round-robin, so that a process sends at most 35 datagrams per second. */
const peersPerTick = 14
/** Maximum number of peers that a process sends to; in larger fleets each process reports to a sample. */
const maxPeers = 42

/** The report of one tick. */
interface Report {
  readonly bytes: Buffer
  /** The bytes as a string, to compare reports. */
  readonly text: string
  /** Marks are sent to each peer once, even if the report is otherwise unchanged. */
  readonly hasMarks: boolean
}

/** Sends this process's load to its peers and receives theirs. */
export class LoadSharer {
  private readonly socket: dgram.Socket
  /** Marks by tick, newest last, for as many ticks as it takes to reach every peer once. */
  private marksByTick: trackUpstreams.MarkReport[][] = [[]]
  private subscription: timerService.Subscription | undefined
  private tickCount = 0
  /** The last report sent to each peer, and its tick. */
  private readonly lastSent = new Map<string, { readonly text: string, readonly tick: number }>()
  /** The last send failed and was logged. */
  private isFailing = false
  private isClosed = false
  private bindState: 'unbound' | 'binding' | 'bound' = 'unbound'

  constructor (private readonly address: string, private readonly ports: LoadSharerPorts) {
    // Peer addresses are numeric, so no name lookup is needed.
    this.socket = dgram.createSocket({ type: 'udp4', lookup: (host, _options, done) => { done(null, host, 4) } })
    this.socket.on('message', (bytes, from) => { this.receive(bytes, `${from.address}:${from.port}`) })
    this.socket.on('error', (err) => {
      if (this.bindState === 'binding') this.bindState = 'unbound'
      this.logFailure(err)
    })
    this.socket.on('listening', () => { this.bindState = 'bound' })
  }

  /** Resolves when the socket is bound, or when binding failed: the process then runs without reports, and tries again each tick. */
  start (): Promise<void> {
    this.subscription = this.ports.timers.every(tickIntervalMs, () => { this.runTick() })
    return new Promise((resolve) => {
      this.socket.once('error', () => { resolve() })
      this.socket.once('listening', resolve)
      this.bind()
    })
  }

  private bind (): void {
    if (this.bindState !== 'unbound') return
    const [host, port] = this.address.split(':')
    this.bindState = 'binding'
    this.socket.bind(Number(port), host)
  }

  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.subscription?.cancel()
    this.socket.close()
  }

  /** Records a failed or slow request at an upstream, for the next report. */
  recordMark (upstream: types.UpstreamId, mark: trackUpstreams.Mark): void {
    this.marksByTick.at(-1)!.push({ upstream, mark, count: 1 })
  }

  private runTick (): void {
    const { loads, timers } = this.ports
    loads.expire(timers.monotonic())
    this.bind()
    // A report from another port than that of this process would be taken for one of another process.
    const peers = this.bindState === 'bound' ? this.selectPeers() : []
    const groupCount = Math.max(1, Math.ceil(peers.length / peersPerTick))
    const marks = mergeMarks(this.marksByTick.flat())
    const bytes = Buffer.from(loadMessage.encodeLoad({ running: this.countRunning(), marks }))
    const report: Report = { bytes, text: bytes.toString('latin1'), hasMarks: marks.length > 0 }
    for (let index = this.tickCount % groupCount; index < peers.length; index += groupCount) this.sendReport(peers[index]!, report, this.tickCount + groupCount)
    this.dropDeparted(peers)
    this.tickCount += 1
    this.marksByTick.push([])
    this.marksByTick = this.marksByTick.slice(-groupCount)
  }

  private countRunning (): trackUpstreams.RunningCounts {
    const running = new Map<types.UpstreamId, number>()
    for (const upstream of this.ports.upstreams.getAll()) {
      if (upstream.running > 0) running.set(upstream.listed.id, upstream.running)
    }
    return running
  }

  /** The peers to send to; in a fleet larger than `maxPeers`, the next ones after this process in the order of addresses. */
  private selectPeers (): string[] {
    const addresses = [...new Set([...this.ports.peers(), ...this.ports.loads.peers])].sort()
    if (addresses.length <= maxPeers) return addresses
    const firstIndex = addresses.findIndex((peer) => peer > this.address)
    return Array.from({ length: maxPeers }, (_, index) => addresses[(firstIndex + index + addresses.length) % addresses.length]!)
  }

  /** `nextTick`: when the next report may be sent to this peer. */
  private sendReport (peer: string, { bytes, text, hasMarks }: Report, nextTick: number): void {
    const lastReport = this.lastSent.get(peer)
    if (!hasMarks && lastReport?.text === text && nextTick - lastReport.tick <= repeatTicks) return
    this.lastSent.set(peer, { text, tick: this.tickCount })
    this.send(bytes, peer)
  }

  /** Drops the last reports of peers that are no longer known. */
  private dropDeparted (peers: readonly string[]): void {
    if (this.lastSent.size <= peers.length) return
    for (const peer of this.lastSent.keys()) if (!peers.includes(peer)) this.lastSent.delete(peer)
  }

  private send (bytes: Buffer, peer: string): void {
    const [host, port] = peer.split(':')
    // Addresses come from the network: an invalid one must not crash the process.
    if (!isPort(Number(port))) {
      this.logFailure(new Error(`invalid peer address: ${peer}`))
      return
    }
    this.socket.send(bytes, Number(port), host, (err) => {
      if (err === null) this.isFailing = false
      else this.logFailure(err)
    })
  }

  private receive (bytes: Buffer, from: string): void {
    try {
      const { running, marks } = loadMessage.decodeLoad(bytes)
      this.ports.loads.applyReport(from, running, this.ports.timers.monotonic())
      if (marks.length > 0) this.ports.onMarksReceived(marks)
    } catch (err) {
      this.ports.decisions.record({ event: 'loadReportUnreadable', from, err })
    }
  }

  /** Logs the first failure, and no further one until a datagram was sent. */
  private logFailure (err: Error): void {
    if (this.isClosed || this.isFailing) return
    this.isFailing = true
    this.ports.decisions.record({ event: 'loadNotShared', err })
  }
}

function isPort (port: number): boolean {
  return Number.isInteger(port) && port > 0 && port < 65_536
}

/** Sums marks by upstream and kind. */
function mergeMarks (marks: readonly trackUpstreams.MarkReport[]): trackUpstreams.MarkReport[] {
  const merged = new Map<string, trackUpstreams.MarkReport>()
  for (const { upstream, mark, count } of marks) {
    const key = `${mark} ${upstream}`
    merged.set(key, { upstream, mark, count: count + (merged.get(key)?.count ?? 0) })
  }
  return [...merged.values()]
}
