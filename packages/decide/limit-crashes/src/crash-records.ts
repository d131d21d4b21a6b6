/** Counts how many upstreams have ended under each request, and decides whether it may be sent to another one. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as types from '@eelgrasswind/types'

/** One upstream that ended while it ran a request. The times are relative, as processes do not share a clock. */
export interface CrashReport {
  readonly request: types.RequestFingerprint
  readonly upstream: types.UpstreamId
  /** Whether only one client can have made the request, since it names its program. */
  readonly isExclusive: boolean
  /** Time since the request was sent to the upstream, in ms. */
  readonly sentAgoMs: number
  /** Time since the upstream ended, in ms. */
  readonly endedAgoMs: number
  /** Whether the upstream was alive when the request was sent, as a new connection or a part of the answer showed. */
  readonly wasAlive: boolean
  /** Whether the request was given up some time before the upstream ended, which other requests may have brought about since. */
  readonly wasGivenUp?: boolean
  /** The attempt of a client that the send belongs to; its sends follow one another. */
  readonly attempt?: string
}

/** The id of an upstream; a number behind it tells further ends of the same one, which has started again in between. A reserved end has the id of its attempt. */
export type EndId = string

const reservedPrefix = 'send '

/** An end that is counted before it is known: of a send that may be the last one. It is withdrawn if its upstream goes on. */
export interface Reservation {
  readonly request: types.RequestFingerprint
  readonly end: EndId
}

/** Creates a reservation for an attempt of a client at a request. */
export function createReservation (request: types.RequestFingerprint, attempt: string): Reservation {
  return { request, end: `${reservedPrefix}${attempt}` }
}

/** Creates a reservation for the end that an open send to the upstream may still bring about. */
export function createSendReservation (request: types.RequestFingerprint, attempt: string, upstream: types.UpstreamId): Reservation {
  return createReservation(request, `${attempt} to ${upstream}`)
}

/** The report as it reads some time later, in ms. */
export function ageReport (report: CrashReport, elapsedMs: number): CrashReport {
  return { ...report, sentAgoMs: report.sentAgoMs + elapsedMs, endedAgoMs: report.endedAgoMs + elapsedMs }
}

/** The count as it reads some time later, in ms. */
export function ageCount (count: CrashCount, elapsedMs: number): CrashCount {
  return { ...count, lastEndedAgoMs: count.lastEndedAgoMs + elapsedMs }
}

/** The ends of upstreams under a request, reserved ones included. */
export interface CrashCount {
  readonly request: types.RequestFingerprint
  readonly ends: readonly EndId[]
  /** Time since the last one ended, in ms. */
  readonly lastEndedAgoMs: number
  /** Whether only one client can have made the request. */
  readonly isExclusive: boolean
}

/** Whether a count has reserved ends, which may be withdrawn. */
export function hasReservedEnds ({ ends }: CrashCount): boolean {
  return ends.some(isReserved)
}

/** The count without reserved ends. */
export function omitReservedEnds (count: CrashCount): CrashCount {
  return { ...count, ends: count.ends.filter((end) => !isReserved(end)) }
}

function isReserved (end: EndId): boolean {
  return end.startsWith(reservedPrefix)
}

/** Limits of the records. */
export interface CrashLimits {
  /** Upstreams that may end under a request before it is refused. */
  readonly maxEnds: number
  /** How long an end counts against its request, in ms; a further end starts the time again. */
  readonly memoryMs: number
  /** Maximum number of requests that are remembered; beyond it, the one whose last end is known longest is forgotten. */
  readonly maxRequests: number
}

/** Upstreams that end within this time of each other, in ms, may have ended together: so long a process may take a connection for open that has broken. */
const simultaneousMs = 100

/** Time after which a request may be sent that is refused because of a reserved end, in ms: its send has mostly ended by then. */
const reservedRetryMs = 1_000

/** A client repeats a request for up to about 20 s. A record takes about 300 bytes. */
export const defaultCrashLimits: CrashLimits = { maxEnds: 3, memoryMs: 30_000, maxRequests: 5_000 }

interface CrashRecord {
  readonly request: types.RequestFingerprint
  readonly isExclusive: boolean
  /** Time of each end, in monotonic ms. */
  readonly ends: ReadonlyMap<EndId, number>
  /** Monotonic ms. */
  readonly lastEndedAt: number
  /** The attempt under which the last end came about, where this process knows it. */
  readonly lastAttempt?: string | undefined
}

/** Remembers the ends of upstreams by request. All times passed in are monotonic ms of this process. */
export class CrashRecords {
  private readonly records: boundedMap.BoundedMap<types.RequestFingerprint, CrashRecord>
  /** When requests were last answered, monotonic ms. */
  private readonly answeredAt: boundedMap.BoundedMap<types.RequestFingerprint, number>
  /** No record is valid from this time on. */
  private emptyFrom = -Infinity

  constructor (private readonly limits: CrashLimits = defaultCrashLimits) {
    this.records = new boundedMap.BoundedMap(limits.maxRequests)
    this.answeredAt = new boundedMap.BoundedMap(limits.maxRequests)
  }

  /** Whether no end is remembered, so that no request needs to be looked up. */
  isEmpty (now: number): boolean {
    return now >= this.emptyFrom
  }

  /**
   * Counts an end. Requests that several clients can make, and requests that were given up, run at several upstreams at
   * the same time, which a crash of a rack ends together: then an end counts only if the one before was not the same crash.
   * A request that was answered after this send is not what ended its upstream. `delayMs`: time that the report may have
   * been under way, by which its times then seem later than they are.
   */
  noteEnd (report: CrashReport, now: number, delayMs = 0): void {
    const known = this.find(report.request, now)
    const sentAt = now - report.sentAgoMs
    if (sentAt <= (this.answeredAt.get(report.request) ?? -Infinity)) return
    const mayShareCrash = !report.isExclusive || report.wasGivenUp === true
    // A request of one client follows the reports of its earlier ends, and may find an upstream that has started again at once.
    const earliestNow = mayShareCrash ? now - delayMs : now
    if (known !== undefined && mayShareCrash && !isLaterCrash(report, known, earliestNow)) return
    this.add(report, [createEndId(report, known, earliestNow)], now - report.endedAgoMs, now)
  }

  /**
   * Adds ends that another process has counted. Of a request that several clients can make, two processes may have counted
   * the same crash at different upstreams: then the longer series counts.
   */
  merge (count: CrashCount, now: number): void {
    const known = this.find(count.request, now)
    const endedAt = now - count.lastEndedAgoMs
    if (endedAt <= (this.answeredAt.get(count.request) ?? -Infinity)) return
    if (known === undefined || isExclusive(count)) {
      this.add(count, count.ends, endedAt, now)
      return
    }
    const isLonger = countCertain(count.ends) > countCertain([...known.ends.keys()])
    if (isLonger) this.dropCertainEnds(known)
    this.add(count, isLonger ? count.ends : count.ends.filter(isReserved), endedAt, now)
  }

  /** Counts an end that a send may bring about. */
  reserve ({ request, end }: Reservation, now: number, isExclusive = this.find(request, now)?.isExclusive ?? true): void {
    this.add({ request, isExclusive }, [end], now, now)
  }

  /** Takes a reserved end back. */
  withdraw ({ request, end }: Reservation, now: number): void {
    const record = this.find(request, now)
    if (record?.ends.has(end) !== true) return
    const ends = new Map([...record.ends].filter(([other]) => other !== end))
    if (ends.size === 0) this.records.delete(request)
    else this.records.set(request, { ...record, ends, lastEndedAt: Math.max(...ends.values()) })
  }

  /** Forgets a request, which an upstream has answered without ending. Returns whether it was remembered. */
  forget (request: types.RequestFingerprint, now: number): boolean {
    this.answeredAt.set(request, now)
    if (this.find(request, now) === undefined) return false
    this.records.delete(request)
    return true
  }

  /** The ends under a request; `undefined` if there are none. */
  get (request: types.RequestFingerprint, now: number): CrashCount | undefined {
    const record = this.find(request, now)
    return record === undefined ? undefined : describeRecord(record, now)
  }

  /** Time until a request may be sent to an upstream again, in ms; `undefined` if it may now. `ownEnd`: an end that the caller itself has reserved. */
  getRefusalMs (request: types.RequestFingerprint, now: number, ownEnd?: EndId): number | undefined {
    const record = this.find(request, now)
    if (record === undefined || this.countEndsLeft(record, ownEnd) > 0) return undefined
    const memoryLeftMs = record.lastEndedAt + this.limits.memoryMs - now
    const isReached = countCertain([...record.ends.keys()]) >= this.limits.maxEnds
    return isReached ? memoryLeftMs : Math.min(memoryLeftMs, reservedRetryMs)
  }

  /** Whether the next end under a request reaches the limit. */
  isLastSend (request: types.RequestFingerprint, now: number): boolean {
    const record = this.find(request, now)
    return record !== undefined && this.countEndsLeft(record) <= 1
  }

  /** The requests whose next end reaches the limit, or that have reached it. */
  listNearLimit (now: number): CrashCount[] {
    return [...this.records.values()].filter((record) => this.isValid(record, now) && this.countEndsLeft(record) <= 1).map((record) => describeRecord(record, now))
  }

  /** All requests with ends that are certain, those with the most ends first, without reserved ends. */
  listCertain (now: number): CrashCount[] {
    const counts = [...this.records.values()].filter((record) => this.isValid(record, now)).map((record) => omitReservedEnds(describeRecord(record, now)))
    return counts.filter(({ ends }) => ends.length > 0).sort((a, b) => b.ends.length - a.ends.length)
  }

  private dropCertainEnds (record: CrashRecord): void {
    this.records.set(record.request, { ...record, ends: new Map([...record.ends].filter(([end]) => isReserved(end))) })
  }

  private add ({ request, isExclusive, attempt }: Pick<CrashReport, 'request' | 'isExclusive' | 'attempt'>, ends: readonly EndId[], endedAt: number, now: number): void {
    const known = this.find(request, now)
    const lastEndedAt = Math.max(endedAt, known?.lastEndedAt ?? -Infinity)
    const added = ends.filter((end) => known?.ends.has(end) !== true).map((end): [EndId, number] => [end, endedAt])
    this.records.set(request, { request, isExclusive, ends: new Map([...known?.ends ?? [], ...added]), lastEndedAt, lastAttempt: attempt ?? known?.lastAttempt })
    this.emptyFrom = Math.max(this.emptyFrom, lastEndedAt + this.limits.memoryMs)
  }

  private find (request: types.RequestFingerprint, now: number): CrashRecord | undefined {
    const record = this.records.get(request)
    if (record === undefined || this.isValid(record, now)) return record
    this.records.delete(request)
    return undefined
  }

  private isValid (record: CrashRecord, now: number): boolean {
    return now < record.lastEndedAt + this.limits.memoryMs
  }

  private countEndsLeft ({ ends }: CrashRecord, ownEnd?: EndId): number {
    return this.limits.maxEnds - ends.size + (ownEnd !== undefined && ends.has(ownEnd) ? 1 : 0)
  }
}

function createEndId (report: CrashReport, known: CrashRecord | undefined, now: number): EndId {
  let end: EndId = report.upstream
  for (let count = 2; hasStartedAgain(report, known?.ends.get(end), now); count += 1) end = `${report.upstream}#${count}`
  return end
}

/**
 * Whether an upstream that has ended before has started again in between: it was alive when the request was sent, or ended
 * much later. Otherwise the request may have been sent on a connection whose end had not been read yet.
 */
function hasStartedAgain ({ sentAgoMs, endedAgoMs, wasAlive }: CrashReport, knownEndedAt: number | undefined, now: number): boolean {
  if (knownEndedAt === undefined || now - sentAgoMs <= knownEndedAt) return false
  // Reports of an earlier release do not say whether it was alive.
  return wasAlive !== false || now - endedAgoMs - knownEndedAt >= simultaneousMs
}

/** Whether an end can't be part of the crash that brought about the one before: its upstream was alive after that, or ended much later. */
function isLaterCrash ({ sentAgoMs, endedAgoMs, wasAlive, wasGivenUp, attempt }: CrashReport, { ends, lastAttempt }: CrashRecord, now: number): boolean {
  const lastEndedAt = Math.max(-Infinity, ...[...ends].filter(([end]) => !isReserved(end)).map(([, endedAt]) => endedAt))
  // Reports of an earlier release do not say whether it was alive.
  const wasAliveAfterwards = wasAlive !== false && now - sentAgoMs >= lastEndedAt
  const isNextSend = wasAlive && wasGivenUp !== true && attempt !== undefined && attempt === lastAttempt
  return wasAliveAfterwards || isNextSend || now - endedAgoMs - lastEndedAt >= simultaneousMs
}

/** Counts of an earlier release do not say it, and are added up. */
function isExclusive (count: Partial<Pick<CrashCount, 'isExclusive'>>): boolean {
  return count.isExclusive !== false
}

function countCertain (ends: readonly EndId[]): number {
  return ends.filter((end) => !isReserved(end)).length
}

function describeRecord ({ request, isExclusive, ends, lastEndedAt }: CrashRecord, now: number): CrashCount {
  return { request, isExclusive, ends: [...ends.keys()], lastEndedAgoMs: Math.max(0, now - lastEndedAt) }
}
