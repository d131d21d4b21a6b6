/**
 * Forwards requests to the home of their program. Homes recognize a repeated request by its id or key, so a retry is
 * safe whatever the outcome of the earlier attempt; the verdict that a caller gets covers all attempts.
 */
import * as decideRetry from '@eelgrasswind/decide-retry'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import * as timerService from '@eelgrasswind/timer-service'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'

/** Dependencies of a forwarder. */
export interface ForwardDeps {
  readonly timers: timerService.TimerService
  /** Returns the home of a program, followed by the hosts that would be its next home. */
  readonly rankHomes: (program: types.ProgramId) => readonly types.HostId[]
  readonly callPeer: <T>(host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>) => Promise<errors.Result<T>>
  readonly isKnown: (host: types.HostId) => boolean
  readonly random: () => number
}

const retrySettings: decideRetry.RetrySettings = { maxAttempts: 10, firstWaitMs: 50, maxWaitMs: 500 }
/** Maximum number of attempts that are followed by the next host without a backoff. */
const maxImmediateRetries = 3
/** Budget of a retry that is not limited. */
const oneRetry: decideRetry.RetryAllowance = { retriesLeft: 1 }
/** Grace period after the deadline, in milliseconds. A home answers by its own timeout; a request without an answer after this has failed. */
const answerGraceMs = 5_000
/** Maximum number of remembered homes that are not the first choice. */
const maxHomeHints = 10_000
/** Retry-after time if no host is eligible as the home, in milliseconds. */
const noHomeRetryMs = 1_000

const noHomeFailure: errors.Failure = { tag: 'notHome', verdict: 'notRun', message: 'no live sidecar is eligible as the home', home: null, retryAfterMs: noHomeRetryMs }

/** Finds the homes of programs, remembers them and retries requests. */
export class Forwarder {
  private retryBudget = limitClient.createRetryBudget(limitClient.processRetrySettings)
  private readonly homeHints = new Map<types.ProgramId, types.HostId>()

  constructor (private readonly deps: ForwardDeps) {}

  /** Sends a request to the home of a program, with retries until `deadline` in monotonic milliseconds. */
  async forward<T> (program: types.ProgramId, deadline: number, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    this.retryBudget = limitClient.earnRetry(this.retryBudget)
    let combinedVerdict: types.Verdict = 'notRun'
    const unreachableHosts = new Set<types.HostId>()
    for (let attempt = 1; ; attempt += 1) {
      const host = this.findHome(program, unreachableHosts)
      const result = host === undefined ? errors.fail(noHomeFailure) : await this.sendWithTimeout(host, send, deadline)
      if (result.ok) return result
      combinedVerdict = errors.combineVerdicts(combinedVerdict, result.failure.verdict)
      if (!isHomeFailure(result.failure)) return errors.fail(withVerdict(result.failure, combinedVerdict))
      const isOtherHostNext = this.learnFromFailure(program, host, result.failure, unreachableHosts)
      const backoffMs = isOtherHostNext && attempt <= maxImmediateRetries ? 0 : this.computeBackoffMs(result.failure, combinedVerdict, attempt, deadline)
      if (backoffMs === undefined) return errors.fail(withVerdict(result.failure, combinedVerdict))
      if (backoffMs > 0) await timerService.sleep(this.deps.timers, backoffMs)
    }
  }

  /** Sends a request to a host. If there is no answer by the deadline and the grace period, the caller gets a timeout as the final answer. */
  private async sendWithTimeout<T> (host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>, deadline: number): Promise<errors.Result<T>> {
    const { timers } = this.deps
    const timeoutMs = Math.max(0, deadline - timers.monotonic()) + answerGraceMs
    return await timerService.withTimeout(timers, this.deps.callPeer(host, send), timeoutMs) ?? errors.fail(createTimeoutFailure(host, timeoutMs))
  }

  /** A request that may have run is not counted in the retry budget: its repeat waits at its home for the same answer. */
  private computeBackoffMs (failure: errors.Failure, verdict: types.Verdict, attempt: number, deadline: number): number | undefined {
    const isCounted = verdict === 'notRun'
    const decision = decideRetry.decideRetry({
      failure,
      idempotent: true,
      attempt,
      programBudget: oneRetry,
      processBudget: isCounted ? this.retryBudget : oneRetry,
      now: this.deps.timers.monotonic(),
      deadline,
      random: this.deps.random
    }, retrySettings)
    if (decision.type === 'giveUp') return undefined
    if (isCounted) this.retryBudget = limitClient.spendRetry(this.retryBudget)
    return decision.afterMs
  }

  private findHome (program: types.ProgramId, unreachableHosts: ReadonlySet<types.HostId>): types.HostId | undefined {
    const hint = this.homeHints.get(program)
    if (hint !== undefined && this.deps.isKnown(hint) && !unreachableHosts.has(hint)) return hint
    const ranked = this.deps.rankHomes(program)
    return ranked.find((host) => !unreachableHosts.has(host)) ?? ranked[0]
  }

  /** Returns true if another host is to be tried next: the home that the failure names, or the next choice. */
  private learnFromFailure (program: types.ProgramId, triedHost: types.HostId | undefined, failure: errors.Failure, unreachableHosts: Set<types.HostId>): boolean {
    this.homeHints.delete(program)
    if (failure.tag === 'peerUnavailable' && triedHost !== undefined) {
      unreachableHosts.add(triedHost)
      return this.findHome(program, unreachableHosts) !== triedHost
    }
    if (failure.tag !== 'notHome' || failure.home === null || failure.home === triedHost) return false
    const home = failure.home as types.HostId
    if (this.homeHints.size >= maxHomeHints) this.homeHints.clear()
    this.homeHints.set(program, home)
    // Another host reaches the home, so its new address will be known here soon: try it again, but after a backoff.
    return !unreachableHosts.delete(home)
  }
}

function createTimeoutFailure (host: types.HostId, afterMs: number): errors.Failure {
  return { tag: 'timeout', verdict: 'mayHaveRun', message: `no answer from ${host}; retry with the same key`, afterMs }
}

/** Whether the request did not reach the home of its program, or lost the connection to it. */
function isHomeFailure (failure: errors.Failure): boolean {
  return failure.tag === 'notHome' || failure.tag === 'peerUnavailable' || failure.tag === 'shuttingDown'
}

function withVerdict (failure: errors.Failure, verdict: types.Verdict): errors.Failure {
  return { ...failure, verdict }
}
