/** Exchanges with the other front processes which upstreams ended under which requests. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as limitCrashes from '@eelgrasswind/limit-crashes'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Reports ends to the processes that count them, and tells all which requests are refused, or may be sent once more, and which are answered. */
export interface CrashCall {
  readonly type: 'crashes'
  /** Ends that the receiver is to count. */
  readonly reports: readonly limitCrashes.CrashReport[]
  /** Requests that are refused from now on, or whose next end reaches the limit. */
  readonly counts: readonly limitCrashes.CrashCount[]
  /** Reserved ends that did not come about. */
  readonly withdrawn: readonly limitCrashes.Reservation[]
  /** Whether the receiver is to tell the processes that only it may know. */
  readonly isRelayed: boolean
  /** Requests that an upstream has answered without ending. */
  readonly answered: readonly types.RequestFingerprint[]
  /** Address of a caller that has just started, and asks for all requests that are refused or whose next end reaches the limit. */
  readonly newPeer?: string | undefined
}

/** What the receiver has counted for the requests that the call reports or tells of; for a new peer, of all requests that have reached the limit or are one end below it. */
export interface CrashCallAnswer {
  readonly type: 'crashes'
  readonly counts: readonly limitCrashes.CrashCount[]
}

/** Dependencies of `CrashReporter`. */
export interface CrashReporterPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Calls a peer; `undefined` without an answer within the timeout, in ms. */
  readonly callPeer: (address: string, call: CrashCall, timeoutMs: number) => Promise<CrashCallAnswer | undefined>
}

/** Timeout of a call, in ms. Clients wait for it after an upstream ended under their request; a busy peer answers within about 120. */
const callTimeoutMs = 150

/** Delays before a process that did not answer is told again, in ms: the processes of a host that is suspended go on after seconds. */
const retryDelaysMs = [200, 500, 1_000, 2_000]

/** What all processes are told. */
export type News = Partial<Pick<CrashCall, 'counts' | 'withdrawn'>>

const emptyCall: CrashCall = { type: 'crashes', reports: [], counts: [], withdrawn: [], answered: [], isRelayed: false }

interface PendingCall {
  /** Each with the time at which it was made, in monotonic ms. */
  readonly reports: (readonly [limitCrashes.CrashReport, number])[]
  readonly answer: Promise<CrashCallAnswer | undefined>
}

/** Sends reports; those that are made at the same moment share a call to each receiver. */
export class CrashReporter {
  private readonly pendingCalls = new Map<string, PendingCall>()

  constructor (private readonly ports: CrashReporterPorts) {}

  /** Reports an end to each address. Resolves with what these processes have counted, without those that do not answer in time. */
  async report (addresses: readonly string[], report: limitCrashes.CrashReport): Promise<limitCrashes.CrashCount[]> {
    const answers = await Promise.all(addresses.map((address) => this.joinCall(address, report)))
    return answers.flatMap((answer) => answer?.counts ?? []).filter(({ request }) => request === report.request)
  }

  /**
   * Tells all addresses; `isRelayed`: they are to tell others, too. Resolves when all have answered or the time is up, with
   * what those that answered have counted.
   * Processes that did not answer are told again later: they may be slow or stand still. Not of reserved ends, which may
   * be withdrawn by then.
   */
  async announce (addresses: readonly string[], news: News, isRelayed: boolean): Promise<limitCrashes.CrashCount[]> {
    const call: CrashCall = { ...emptyCall, ...news, isRelayed }
    const delaysMs = call.counts.some(limitCrashes.hasReservedEnds) ? [] : retryDelaysMs
    const madeAt = this.ports.timers.monotonic()
    const counts = await Promise.all(addresses.map((address) => this.tell(address, call, madeAt, delaysMs)))
    return counts.flat()
  }

  private async tell (address: string, call: CrashCall, madeAt: number, delaysMs: readonly number[]): Promise<readonly limitCrashes.CrashCount[]> {
    const elapsedMs = this.ports.timers.monotonic() - madeAt
    const timeoutMs = call.isRelayed ? 2 * callTimeoutMs : callTimeoutMs
    const answer = await this.callPeer(address, { ...call, counts: call.counts.map((count) => limitCrashes.ageCount(count, elapsedMs)) }, timeoutMs)
    const [delayMs, ...laterDelaysMs] = delaysMs
    if (answer === undefined && delayMs !== undefined) this.ports.timers.after(delayMs, () => { void this.tell(address, call, madeAt, laterDelaysMs) })
    return answer?.counts ?? []
  }

  /** Tells all addresses that an upstream has answered a request without ending. */
  announceAnswered (addresses: readonly string[], request: types.RequestFingerprint): void {
    for (const address of addresses) void this.callPeer(address, { ...emptyCall, answered: [request] }, callTimeoutMs)
  }

  /** Asks a peer for the requests that it refuses, or whose next end reaches the limit; `undefined` without an answer. */
  async fetchCounts (address: string, ownAddress: string): Promise<readonly limitCrashes.CrashCount[] | undefined> {
    const answer = await this.callPeer(address, { ...emptyCall, newPeer: ownAddress }, callTimeoutMs)
    return answer?.counts
  }

  private joinCall (address: string, report: limitCrashes.CrashReport): Promise<CrashCallAnswer | undefined> {
    const { timers } = this.ports
    const made = [report, timers.monotonic()] as const
    const pending = this.pendingCalls.get(address)
    if (pending !== undefined) {
      pending.reports.push(made)
      return pending.answer
    }
    const reports = [made]
    const answer = new Promise<CrashCallAnswer | undefined>((resolve) => {
      timers.after(0, () => {
        this.pendingCalls.delete(address)
        // A process that stands still for a moment sends late what it has reported in time.
        const aged = reports.map(([each, madeAt]) => limitCrashes.ageReport(each, timers.monotonic() - madeAt))
        resolve(this.callPeer(address, { ...emptyCall, reports: aged }, callTimeoutMs))
      })
    })
    this.pendingCalls.set(address, { reports, answer })
    return answer
  }

  /** Does not reject: requests, and the start of this process, wait for the answer. One that is no answer of a release counts as none. */
  private async callPeer (address: string, call: CrashCall, timeoutMs: number): Promise<CrashCallAnswer | undefined> {
    try {
      const answer = await this.ports.callPeer(address, call, timeoutMs)
      if (answer === undefined || isCrashCallAnswer(answer)) return answer
      throw new InvalidCrashAnswerError(address)
    } catch (err) {
      this.ports.decisions.record({ event: 'peerCallFailed', err })
      return undefined
    }
  }
}

/** A peer has answered with something that is no list of counts. */
export class InvalidCrashAnswerError extends Error {
  constructor (address: string) {
    super(`invalid answer of ${address} to a report of ended upstreams`)
    this.name = 'InvalidCrashAnswerError'
  }
}

function isCrashCallAnswer (answer: unknown): answer is CrashCallAnswer {
  if (typeof answer !== 'object' || answer === null) return false
  const { counts } = answer as Partial<CrashCallAnswer>
  return Array.isArray(counts) && counts.every(isCrashCount)
}

/** Counts of an earlier release do not say whether they are exclusive. */
function isCrashCount (count: unknown): boolean {
  if (typeof count !== 'object' || count === null) return false
  const { request, ends, lastEndedAgoMs } = count as Partial<limitCrashes.CrashCount>
  return typeof request === 'string' && Array.isArray(ends) && ends.every((end) => typeof end === 'string') && Number.isFinite(lastEndedAgoMs)
}
