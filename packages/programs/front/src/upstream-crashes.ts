/** Limits how many upstreams may end under a request, over all attempts of its client at all front processes. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as identifyClient from '@eelgrasswind/identify-client'
import * as limitCrashes from '@eelgrasswind/limit-crashes'
import * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as crashReports from './crash-reports.js'
import type * as inbound from './inbound.js'
import type * as openSends from './open-sends.js'
import * as reservedEnds from './reserved-ends.js'
import * as sendWatch from './send-watch.js'
import * as storedCrashCounts from './stored-crash-counts.js'

/** Dependencies of `UpstreamCrashes`. */
export interface UpstreamCrashPorts extends crashReports.CrashReporterPorts, sendWatch.SendWatchPorts, storedCrashCounts.StoredCountPorts {
  readonly decisions: decisionLog.DecisionLog
  /** Addresses of the processes that own shards, which all processes know. */
  readonly members: () => readonly string[]
  /** Addresses of further processes that this one has heard of. */
  readonly otherPeers: () => Iterable<string>
}

/** What dispatching a request needs. */
export type CrashLimit = Pick<UpstreamCrashes, 'isLoaded' | 'isSuspected' | 'noteBroken' | 'noteGivenUp' | 'noteFailedAnswer' | 'noteEnded' | 'noteAnswered' | 'permitSend' | 'release'>

/** A send under which an upstream may have ended. */
export interface BrokenSend {
  readonly upstream: trackUpstreams.Upstream
  /** Monotonic ms. */
  readonly sentAt: number
  /** Whether a new connection, or a part of the answer, showed that the upstream was alive. */
  readonly wasAlive: boolean
}

/** Why a request must not be sent to an upstream. */
export interface ReachedLimit {
  readonly fingerprint: types.RequestFingerprint
  /** The upstreams that have ended under it, reserved ends included. */
  readonly ends: readonly limitCrashes.EndId[]
  /** Time until it may be sent again, in ms. */
  readonly retryAfterMs: number
}

/** Time that a report of another process may have been under way, in ms: both may stand still for a moment. */
const maxReportDelayMs = 100
/** After its start a process polls for the owners of shards at this interval, and for no longer than the timeout, in ms. */
const memberPollMs = 20
const memberTimeoutMs = 1_000
/** An upstream that ends within this time after a send to it broke or was given up, in ms, has most likely ended because of it. */
const promptEndMs = 100
/** Timeout for reading from the store what others have counted, in ms. */
const storedTimeoutMs = 1_000
/** The same after a suspension, while requests wait, in ms. */
const reloadTimeoutMs = 300
/** A process that has just started takes no requests until it has learnt what others counted, but for no longer than this, in ms. */
const maxFirstLoadMs = 6_000
/** Delay before it asks again, in ms. */
const reloadDelayMs = 100
/** Period at which a process checks whether it was suspended and whether others count now, in ms. */
const checkPeriodMs = 250
/** A process whose check is so late, in ms, was suspended, and may not have heard what others counted meanwhile. */
const suspendedMs = 1_000
/** How long a process that has just started is remembered, in ms: until it is known by its load reports. */
const startedMemoryMs = 3_000

/**
 * Counts the ends of upstreams under each request. A process that sees one reports it to those that count for the
 * request, and learns from them what others have seen. All processes are told of a request whose next end reaches the
 * limit. Its next send is announced as that end before it is made, so that the end counts even if its sender ends, too.
 */
export class UpstreamCrashes {
  private readonly records = new limitCrashes.CrashRecords()
  private readonly reporter: crashReports.CrashReporter
  private readonly fingerprints = new WeakMap<inbound.InboundRequest, types.RequestFingerprint>()
  /** Unfinished examinations by request. */
  private readonly examinations = new Map<types.RequestFingerprint, Set<Promise<void>>>()
  /** Ends that this process has reserved for its sends, with the announcement of each. */
  private readonly reservations = new Map<inbound.InboundRequest, reservedEnds.ReservedEnd>()
  private readonly reservedEnds: reservedEnds.ReservedEnds
  /** Open sends that have a reserved end. */
  private readonly reservedSends = new WeakSet<openSends.OpenSend>()
  /** Addresses of processes that have just started, or have written counts lately, with the time until which they are remembered, in monotonic ms. */
  private readonly startedPeers = new Map<string, number>()
  /** Until when the send of a request stays open, and with it the end that is reserved for it, monotonic ms. */
  private readonly openUntil = new WeakMap<inbound.InboundRequest, number>()
  private readonly sends: sendWatch.SendWatch
  private startTimer: timerService.Subscription | undefined
  private checkTimer: timerService.Subscription | undefined
  private checkedAt = 0
  /** The owners of shards at the last check. */
  private knownMembers = ''
  private readonly stored: storedCrashCounts.StoredCrashCounts
  /** After a suspension, until it is known what others have counted. */
  private pendingLoad: Promise<unknown> | undefined
  private hasLoaded = false

  constructor (private readonly ports: UpstreamCrashPorts) {
    this.reporter = new crashReports.CrashReporter(ports)
    this.reservedEnds = new reservedEnds.ReservedEnds({ timers: ports.timers, records: this.records, reporter: this.reporter, mergeCount: (count) => { this.mergeCount(count) } })
    this.stored = new storedCrashCounts.StoredCrashCounts(ports, () => this.records.listCertain(ports.timers.monotonic()))
    this.sends = new sendWatch.SendWatch(ports, (ended, evidence) => { for (const open of ended) void this.reportOpenSend(open, evidence) })
  }

  /** Whether this process has asked its peers, after its start, which requests they refuse. Until then it takes no requests. */
  get isLoaded (): boolean {
    return this.hasLoaded
  }

  /** Asks the owners of shards, once they are known, for the requests that they refuse or whose next end reaches the limit. */
  start (): void {
    const { timers, members } = this.ports
    const startedAt = timers.monotonic()
    this.startTimer = timers.every(memberPollMs, () => {
      if (members().length === 0 && timers.monotonic() - startedAt < memberTimeoutMs) return
      this.startTimer?.cancel()
      void this.loadFirst(startedAt)
    })
    this.checkedAt = startedAt
    this.checkTimer = timers.every(checkPeriodMs, () => { this.check() })
  }

  close (): void {
    this.startTimer?.cancel()
    this.checkTimer?.cancel()
    this.sends.close()
  }

  /** The connection broke, or the upstream was given up as silent, while it ran the request. */
  noteBroken (req: inbound.InboundRequest, send: BrokenSend): void {
    const fingerprint = this.getFingerprint(req)
    const pending = this.examinations.get(fingerprint) ?? new Set()
    this.examinations.set(fingerprint, pending)
    const examination = this.examine(req, fingerprint, send).finally(() => {
      pending.delete(examination)
      if (pending.size === 0) this.examinations.delete(fingerprint)
    })
    pending.add(examination)
  }

  /** The answer is no longer awaited, and nothing is wrong with the upstream as far as is known. */
  noteGivenUp (req: inbound.InboundRequest, send: BrokenSend): void {
    this.openUntil.set(req, this.sends.keepOpen(this.describeSend(req, send), req.deadlineAt))
    this.reserveOpenSends(this.getFingerprint(req))
  }

  /** The upstream has answered the request with a failure, and may end because of it. */
  noteFailedAnswer (req: inbound.InboundRequest, send: BrokenSend): void {
    this.sends.keepAnsweredOpen(this.describeSend(req, send))
  }

  /** Another incarnation has taken the place of the upstream, or its address refuses connections. */
  noteEnded (upstream: trackUpstreams.Upstream): void {
    this.sends.noteEnded(upstream, 'ended')
  }

  /** An upstream has answered the request and goes on. */
  noteAnswered (req: inbound.InboundRequest): void {
    const now = this.ports.timers.monotonic()
    if (this.records.isEmpty(now)) return
    const fingerprint = this.getFingerprint(req)
    const receivers = this.records.isLastSend(fingerprint, now) ? this.listPeers() : this.listKeepers(fingerprint)
    if (!this.records.forget(fingerprint, now)) return
    this.reporter.announceAnswered(receivers, fingerprint)
    this.stored.noteChanged()
  }

  /** Whether this process knows of an upstream that ended under the request. */
  isSuspected (req: inbound.InboundRequest): boolean {
    const now = this.ports.timers.monotonic()
    return !this.records.isEmpty(now) && this.records.get(this.getFingerprint(req), now) !== undefined
  }

  /**
   * Calls `done` once it is known whether the request may be sent to an upstream: with the limit if it may not. At once
   * if no upstream has ended under any request lately.
   */
  permitSend (req: inbound.InboundRequest, done: (limit: ReachedLimit | undefined) => void): void {
    this.whenExamined(req, () => {
      const limit = this.findLimit(req)
      if (limit !== undefined || !this.isLastSend(req)) done(limit)
      else void this.reserveEnd(req).then(() => { done(this.findLimit(req)) })
    })
  }

  /** The request is sent to no further upstream. Calls `done` once all ends under it are reported, and reserved ones withdrawn: at once if there are none. */
  release (req: inbound.InboundRequest, done: () => void = () => {}): void {
    this.whenExamined(req, () => {
      const openMs = (this.openUntil.get(req) ?? 0) - this.ports.timers.monotonic()
      if (!this.reservations.has(req)) done()
      else if (openMs <= 0) void this.withdraw(req).then(done)
      else {
        // The upstream may still end because of the send that the end is reserved for.
        this.ports.timers.after(openMs, () => { void this.withdraw(req) })
        done()
      }
    })
  }

  /** Answers a call of a peer. */
  async answerCall (call: crashReports.CrashCall): Promise<crashReports.CrashCallAnswer> {
    const arrivedAt = this.ports.timers.monotonic()
    // A peer that is about to send one of these requests wants to know the ends that are just being found out, too.
    await Promise.all(call.counts.flatMap(({ request }) => this.sends.listExaminations(request)))
    const now = this.ports.timers.monotonic()
    for (const report of call.reports) this.records.noteEnd(limitCrashes.ageReport(report, now - arrivedAt), now, maxReportDelayMs)
    for (const request of call.answered) this.records.forget(request, now)
    for (const reservation of call.withdrawn) this.records.withdraw(reservation, now)
    for (const count of call.counts) this.mergeCount(limitCrashes.ageCount(count, now - arrivedAt))
    if (call.isRelayed) await this.relay(call)
    if (call.newPeer !== undefined) {
      this.startedPeers.set(call.newPeer, now + startedMemoryMs)
      return { type: 'crashes', counts: this.records.listNearLimit(now) }
    }
    const requests = new Set([...call.reports, ...call.counts].map(({ request }) => request))
    return { type: 'crashes', counts: [...requests].flatMap((request) => this.records.get(request, now) ?? []) }
  }

  private check (): void {
    const now = this.ports.timers.monotonic()
    const wasSuspended = now - this.checkedAt > suspendedMs + checkPeriodMs
    this.checkedAt = now
    if (wasSuspended) this.reload()
    this.tellNewMembers(now)
  }

  private reload (): void {
    const loading: Promise<unknown> = this.tryLoad(reloadTimeoutMs).finally(() => { if (this.pendingLoad === loading) this.pendingLoad = undefined })
    this.pendingLoad = loading
  }

  /** After a change of the owners of shards, other processes count the ends under a request. */
  private tellNewMembers (now: number): void {
    const members = this.ports.members().join()
    if (members === this.knownMembers) return
    this.knownMembers = members
    const counts = this.records.isEmpty(now) ? [] : this.records.listCertain(now)
    if (counts.length > 0) void this.reporter.announce(this.listOtherMembers(), { counts }, false)
  }

  private whenExamined (req: inbound.InboundRequest, done: () => void): void {
    if (this.pendingLoad !== undefined) {
      void this.pendingLoad.then(() => { this.whenExamined(req, done) })
      return
    }
    const pending = this.examinations.size === 0 && this.sends.isEmpty ? [] : this.listExaminations(this.getFingerprint(req))
    if (pending.length === 0) done()
    else void Promise.all(pending).then(done)
  }

  private listExaminations (request: types.RequestFingerprint): Promise<void>[] {
    return [...this.examinations.get(request) ?? [], ...this.sends.listExaminations(request)]
  }

  private findLimit (req: inbound.InboundRequest): ReachedLimit | undefined {
    const now = this.ports.timers.monotonic()
    if (this.records.isEmpty(now)) return undefined
    const fingerprint = this.getFingerprint(req)
    const retryAfterMs = this.records.getRefusalMs(fingerprint, now, this.reservations.get(req)?.reservation.end)
    if (retryAfterMs === undefined) return undefined
    return { fingerprint, ends: this.records.get(fingerprint, now)?.ends ?? [], retryAfterMs: Math.ceil(retryAfterMs) }
  }

  private isLastSend (req: inbound.InboundRequest): boolean {
    const now = this.ports.timers.monotonic()
    return !this.records.isEmpty(now) && !this.reservations.has(req) && this.records.isLastSend(this.getFingerprint(req), now)
  }

  /** Announces the end that the next send may bring about. */
  private async reserveEnd (req: inbound.InboundRequest): Promise<void> {
    const reservation = limitCrashes.createReservation(this.getFingerprint(req), req.attempt.id)
    const reserved = this.reservedEnds.reserve(reservation, isExclusive(req), this.listPeers(), true)
    this.reservations.set(req, reserved)
    await reserved.announced
  }

  private async withdraw (req: inbound.InboundRequest): Promise<void> {
    const reserved = this.reservations.get(req)
    if (reserved === undefined) return
    this.reservations.delete(req)
    await this.reservedEnds.withdraw(reserved, true)
  }

  /** Once the next end reaches the limit, a send that is still open counts as that end: its upstream may end while the request is sent again. */
  private reserveOpenSends (request: types.RequestFingerprint): void {
    const { timers } = this.ports
    if (this.sends.isEmpty || !this.records.isLastSend(request, timers.monotonic())) return
    for (const open of this.sends.listGivenUp(request)) {
      if (this.reservedSends.has(open)) continue
      const reservation = limitCrashes.createSendReservation(request, open.attempt, open.send.upstream.listed.id)
      const reserved = this.reservedEnds.reserve(reservation, open.isExclusive, this.listPeers(), true)
      this.reservedSends.add(open)
      timers.after(open.until - timers.monotonic(), () => { void this.reservedEnds.withdraw(reserved, true) })
    }
  }

  private async examine (req: inbound.InboundRequest, fingerprint: types.RequestFingerprint, send: BrokenSend): Promise<void> {
    const { timers, decisions } = this.ports
    const { upstream, sentAt } = send
    const brokeAt = timers.monotonic()
    const evidence = await this.sends.examine(upstream)
    if (sendHttp.hasEnded(evidence)) await this.report({ ...this.describeSend(req, send), wasGivenUp: false }, brokeAt)
    else this.noteGivenUp(req, send)
    decisions.record({
      event: 'upstreamBroke',
      request: req.attempt.id,
      fingerprint,
      upstream: upstream.listed.id,
      evidence,
      wasAlive: send.wasAlive,
      ended: this.records.get(fingerprint, timers.monotonic())?.ends.length ?? 0,
      sentAgoMs: Math.round(brokeAt - sentAt),
      tookMs: Math.round(timers.monotonic() - brokeAt)
    })
  }

  /** The upstream of a send that was given up has ended. */
  private async reportOpenSend (open: openSends.OpenSend, evidence: sendHttp.ProcessEvidence): Promise<void> {
    const { timers, decisions } = this.ports
    const { attempt, fingerprint, send } = open
    const endedAt = timers.monotonic()
    await this.report({ ...open, wasGivenUp: open.wasGivenUp && endedAt - open.since >= promptEndMs }, endedAt)
    const ended = this.records.get(fingerprint, timers.monotonic())?.ends.length ?? 0
    decisions.record({ event: 'upstreamEndedLater', request: attempt, fingerprint, upstream: send.upstream.listed.id, evidence, ended, sentAgoMs: Math.round(endedAt - send.sentAt) })
  }

  private describeSend (req: inbound.InboundRequest, send: BrokenSend): sendWatch.SendToWatch {
    return { attempt: req.attempt.id, fingerprint: this.getFingerprint(req), isExclusive: isExclusive(req), send }
  }

  private async report ({ attempt, fingerprint: request, isExclusive, wasGivenUp, send: { upstream, sentAt, wasAlive } }: Omit<openSends.OpenSend, 'since' | 'until'>, endedAt: number): Promise<void> {
    const { timers } = this.ports
    const now = timers.monotonic()
    const report: limitCrashes.CrashReport = { request, upstream: upstream.listed.id, isExclusive, sentAgoMs: now - sentAt, endedAgoMs: now - endedAt, wasAlive, wasGivenUp, attempt }
    const wasLimited = this.isLimited(request)
    this.records.noteEnd(report, now)
    this.stored.noteChanged()
    for (const count of await this.reporter.report(this.listKeepers(request), report)) this.records.merge(count, timers.monotonic())
    const count = this.records.get(request, timers.monotonic())
    if (count === undefined || !this.records.isLastSend(request, timers.monotonic())) return
    if (!wasLimited && this.isLimited(request)) this.recordLimited(count, 'own')
    this.reserveOpenSends(request)
    await this.reporter.announce(this.listPeers(), { counts: [limitCrashes.omitReservedEnds(count)] }, true)
  }

  private mergeCount (count: limitCrashes.CrashCount): void {
    const wasLimited = this.isLimited(count.request)
    this.records.merge(count, this.ports.timers.monotonic())
    if (!wasLimited && this.isLimited(count.request)) this.recordLimited(count, 'peer')
  }

  /** Tells the processes that do not own shards, as not every process knows them. */
  private async relay ({ counts, withdrawn }: crashReports.CrashCall): Promise<void> {
    const members = new Set(this.listOtherMembers())
    await this.reporter.announce(this.listPeers().filter((peer) => !members.has(peer)), { counts, withdrawn }, false)
  }

  private recordLimited ({ request, ends }: limitCrashes.CrashCount, source: 'own' | 'peer'): void {
    this.ports.decisions.record({ event: 'crashLimitReached', fingerprint: request, ends, source })
  }

  /** The other processes that count the ends under a request. */
  private listKeepers (request: types.RequestFingerprint): string[] {
    return limitCrashes.selectKeepers(request, this.ports.members()).filter((keeper) => keeper !== this.ports.address)
  }

  private listOtherMembers (): string[] {
    return this.ports.members().filter((member) => member !== this.ports.address)
  }

  /** Every other process that this one knows. */
  private listPeers (): string[] {
    const now = this.ports.timers.monotonic()
    for (const [peer, until] of this.startedPeers) if (until <= now) this.startedPeers.delete(peer)
    const known = new Set([...this.listOtherMembers(), ...this.ports.otherPeers(), ...this.startedPeers.keys()])
    known.delete(this.ports.address)
    return [...known]
  }

  private isLimited (request: types.RequestFingerprint): boolean {
    return this.records.getRefusalMs(request, this.ports.timers.monotonic()) !== undefined
  }

  /** Loads until the store or another process has answered, or the time is up. */
  private async loadFirst (startedAt: number): Promise<void> {
    const { timers } = this.ports
    while (!await this.tryLoad(storedTimeoutMs) && timers.monotonic() - startedAt < maxFirstLoadMs) await timerService.sleep(timers, reloadDelayMs)
    this.hasLoaded = true
  }

  /** Does not reject: requests wait for it, and the start of this process. */
  private async tryLoad (timeoutMs: number): Promise<boolean> {
    try {
      return await this.load(timeoutMs)
    } catch (err) {
      this.ports.decisions.record({ event: 'unexpected', err })
      return false
    }
  }

  /** Returns whether the store, within that time in ms, or another process has answered. */
  private async load (timeoutMs: number): Promise<boolean> {
    const stored = await this.stored.load(timeoutMs)
    // Those that are about to end own no shards any more.
    for (const writer of stored?.writers ?? []) this.startedPeers.set(writer, this.ports.timers.monotonic() + startedMemoryMs)
    const answers = await Promise.all(this.listPeers().map((peer) => this.reporter.fetchCounts(peer, this.ports.address)))
    const counts = answers.flatMap((answer) => answer ?? [])
    for (const count of [...counts, ...stored?.counts ?? []]) this.mergeCount(count)
    const answered = answers.filter((answer) => answer !== undefined).length
    this.ports.decisions.record({ event: 'crashCountsLoaded', asked: answers.length, answered, counts: counts.length, stored: stored?.counts.length })
    this.shareCounts()
    return stored !== undefined || answered > 0
  }

  /** Tells the others of requests at or near the limit: those that counted them may not know all that this process knows. */
  private shareCounts (): void {
    const counts = this.records.listNearLimit(this.ports.timers.monotonic()).map(limitCrashes.omitReservedEnds)
    if (counts.length > 0) void this.reporter.announce(this.listPeers(), { counts }, false)
  }

  private getFingerprint (req: inbound.InboundRequest): types.RequestFingerprint {
    const known = this.fingerprints.get(req)
    if (known !== undefined) return known
    const fingerprint = computeFingerprint(req)
    this.fingerprints.set(req, fingerprint)
    return fingerprint
  }
}

function isExclusive (req: inbound.InboundRequest): boolean {
  return req.attempt.program !== undefined
}

function computeFingerprint ({ attempt, caller, method, route, path, body }: inbound.InboundRequest): types.RequestFingerprint {
  return limitCrashes.computeFingerprint({
    account: identifyClient.getAccount(caller),
    method,
    host: route.host,
    path,
    program: attempt.program,
    session: attempt.session,
    previous: attempt.turn?.previous,
    body
  })
}
