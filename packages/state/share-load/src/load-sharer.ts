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
  readonly onMarksReceived: (marks: readonly trackUpstreams.MarkReport[]) => void
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/**
 * Time between two ticks, in ms. Each datagram wakes its receiver: at 150 ms, 29 processes spent a quarter more processor
 * time on a quiet day than without reports.
 */
const periodMs = 400
/** Ticks without change after which a report is repeated: well within the life of one. */
const repeatTicks = 3
/** Peers told in one tick. More than these are told in turn, so that a process sends at most 35 datagrams a second. */
const peersPerTick = 14
/** Peers told at all; larger fleets see a sample of one another. */
const mostPeers = 42

/** The report of one tick. */
interface Report {
  readonly bytes: Buffer
  readonly text: string
  /** It holds marks, which are told once. */
  readonly isNews: boolean
}

/** One process's side of the exchange. */
export class LoadSharer {
  private readonly socket: dgram.Socket
  /** Marks by the tick in which they came, the newest last: as many ticks as it takes to tell every peer once. */
  private marks: trackUpstreams.MarkReport[][] = [[]]
  private subscription: timerService.Subscription | undefined
  private ticks = 0
  /** What each peer was told last, and in which tick. */
  private readonly told = new Map<string, { readonly text: string, readonly tick: number }>()
  private failing = false
  private closed = false

  constructor (private readonly address: string, private readonly ports: LoadSharerPorts) {
    // Addresses are numbers: nothing is looked up.
    this.socket = dgram.createSocket({ type: 'udp4', lookup: (host, _options, done) => { done(null, host, 4) } })
    this.socket.on('message', (bytes, from) => { this.receive(bytes, `${from.address}:${from.port}`) })
    this.socket.on('error', (err) => { this.noteFailure(err) })
  }

  /** Resolves when reports are taken in, or when it is clear that they can't be: the process does without them then. */
  start (): Promise<void> {
    const [host, port] = this.address.split(':')
    this.subscription = this.ports.timers.every(periodMs, () => { this.tick() })
    return new Promise((resolve) => {
      this.socket.once('error', () => { resolve() })
      this.socket.bind(Number(port), host, resolve)
    })
  }

  close (): void {
    if (this.closed) return
    this.closed = true
    this.subscription?.cancel()
    this.socket.close()
  }

  /** Something went wrong with one request; the others hear of it with the next datagram. */
  recordMark (upstream: types.UpstreamId, mark: trackUpstreams.Mark): void {
    this.marks.at(-1)!.push({ upstream, mark, count: 1 })
  }

  private tick (): void {
    const { loads, timers } = this.ports
    loads.expire(timers.monotonic())
    const peers = this.allPeers()
    const turns = Math.max(1, Math.ceil(peers.length / peersPerTick))
    const marks = mergeMarks(this.marks.flat())
    const bytes = Buffer.from(loadMessage.encodeLoad({ running: this.running(), marks }))
    const report: Report = { bytes, text: bytes.toString('latin1'), isNews: marks.length > 0 }
    for (let at = this.ticks % turns; at < peers.length; at += turns) this.tell(peers[at]!, report)
    this.forget(peers)
    this.ticks += 1
    this.marks.push([])
    this.marks = this.marks.slice(-turns)
  }

  private running (): trackUpstreams.RunningCounts {
    const running = new Map<types.UpstreamId, number>()
    for (const upstream of this.ports.upstreams.getAll()) {
      if (upstream.running > 0) running.set(upstream.listed.id, upstream.running)
    }
    return running
  }

  /** Some of a fleet that is too large for everyone to tell everyone: neighbours in the order of addresses. */
  private allPeers (): string[] {
    const all = [...new Set([...this.ports.peers(), ...this.ports.loads.peers])].sort()
    if (all.length <= mostPeers) return all
    const first = all.findIndex((peer) => peer > this.address)
    return Array.from({ length: mostPeers }, (_, index) => all[(first + index + all.length) % all.length]!)
  }

  private tell (peer: string, { bytes, text, isNews }: Report): void {
    const last = this.told.get(peer)
    if (!isNews && last?.text === text && this.ticks - last.tick < repeatTicks) return
    this.told.set(peer, { text, tick: this.ticks })
    this.send(bytes, peer)
  }

  /** Forgets what peers were told that are no longer there. */
  private forget (peers: readonly string[]): void {
    if (this.told.size <= peers.length) return
    for (const peer of this.told.keys()) if (!peers.includes(peer)) this.told.delete(peer)
  }

  private send (bytes: Buffer, peer: string): void {
    const [host, port] = peer.split(':')
    // Addresses come from the network: one that can't be sent to must not end the process.
    if (!isPort(Number(port))) {
      this.noteFailure(new Error(`no address of a peer: ${peer}`))
      return
    }
    this.socket.send(bytes, Number(port), host, (err) => {
      if (err === null) this.failing = false
      else this.noteFailure(err)
    })
  }

  private receive (bytes: Buffer, from: string): void {
    try {
      const { running, marks } = loadMessage.decodeLoad(bytes)
      this.ports.loads.applyReport(from, running, this.ports.timers.monotonic())
      if (marks.length > 0) this.ports.onMarksReceived(marks)
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

function isPort (port: number): boolean {
  return Number.isInteger(port) && port > 0 && port < 65_536
}

/** One report for each upstream and kind of mark. */
function mergeMarks (marks: readonly trackUpstreams.MarkReport[]): trackUpstreams.MarkReport[] {
  const merged = new Map<string, trackUpstreams.MarkReport>()
  for (const { upstream, mark, count } of marks) {
    const key = `${mark} ${upstream}`
    merged.set(key, { upstream, mark, count: count + (merged.get(key)?.count ?? 0) })
  }
  return [...merged.values()]
}
