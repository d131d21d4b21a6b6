/**
 * Forwards requests to the home of their program. Homes answer a request that was asked before by its id or key,
 * so asking again is safe whatever became of the earlier attempt; the verdict a caller sees covers all attempts.
 */
import * as decideRetry from '@eelgrasswind/decide-retry'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import * as timerService from '@eelgrasswind/timer-service'
import type * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as types from '@eelgrasswind/types'

export interface ForwardDeps {
  readonly timers: timerService.TimerService
  /** The home of a program and the hosts that would be home after it. */
  readonly rankHomes: (program: types.ProgramId) => readonly types.HostId[]
  readonly ask: <T>(host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>) => Promise<errors.Result<T>>
  readonly isKnown: (host: types.HostId) => boolean
  readonly random: () => number
}

const retrySettings: decideRetry.RetrySettings = { maxAttempts: 10, firstWaitMs: 50, maxWaitMs: 500 }
/** Attempts after which the next host is asked at once, without waiting. */
const maxDirectMoves = 3
/** A home answers by its own time limit; this much later its silence is final, in milliseconds. */
const answerGraceMs = 5_000
/** Homes remembered where they are not the first choice. */
const maxHints = 10_000
const noHomeRetryMs = 1_000

const noHome: errors.Failure = { tag: 'notHome', verdict: 'notRun', message: 'no live sidecar may be the home', home: null, retryAfterMs: noHomeRetryMs }

export class Forwarder {
  private retries = limitClient.createRetryBudget(limitClient.processRetrySettings)
  private readonly hints = new Map<types.ProgramId, types.HostId>()

  constructor (private readonly deps: ForwardDeps) {}

  async forward<T> (program: types.ProgramId, deadline: number, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    this.retries = limitClient.earnRetry(this.retries)
    let worst: types.Verdict = 'notRun'
    const unreachable = new Set<types.HostId>()
    for (let attempt = 1; ; attempt += 1) {
      const host = this.homeOf(program, unreachable)
      const result = host === undefined ? errors.fail(noHome) : await this.askUntil(host, send, deadline)
      if (result.ok) return result
      worst = errors.combineVerdicts(worst, result.failure.verdict)
      if (!concernsHome(result.failure)) return errors.fail(withVerdict(result.failure, worst))
      const elsewhere = this.learnHome(program, host, result.failure, unreachable)
      const wait = elsewhere && attempt <= maxDirectMoves ? 0 : this.waitBefore(result.failure, attempt, deadline)
      if (wait === undefined) return errors.fail(withVerdict(result.failure, worst))
      if (wait > 0) await timerService.sleep(this.deps.timers, wait)
    }
  }

  /** A home that says nothing until its time is up, and a little longer, is given up: the caller gets its final answer. */
  private async askUntil<T> (host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>, deadline: number): Promise<errors.Result<T>> {
    const { timers } = this.deps
    const leftMs = Math.max(0, deadline - timers.monotonic()) + answerGraceMs
    return await timerService.withTimeout(timers, this.deps.ask(host, send), leftMs) ?? errors.fail(silentHome(host, leftMs))
  }

  private waitBefore (failure: errors.Failure, attempt: number, deadline: number): number | undefined {
    const decision = decideRetry.decideRetry({
      failure,
      idempotent: true,
      attempt,
      programBudget: { retriesLeft: 1 },
      processBudget: this.retries,
      now: this.deps.timers.monotonic(),
      deadline,
      random: this.deps.random
    }, retrySettings)
    if (decision.type === 'giveUp') return undefined
    this.retries = limitClient.spendRetry(this.retries)
    return decision.afterMs
  }

  private homeOf (program: types.ProgramId, unreachable: ReadonlySet<types.HostId>): types.HostId | undefined {
    const hint = this.hints.get(program)
    if (hint !== undefined && this.deps.isKnown(hint) && !unreachable.has(hint)) return hint
    const ranked = this.deps.rankHomes(program)
    return ranked.find((host) => !unreachable.has(host)) ?? ranked[0]
  }

  /** True when another host is to be asked next: the home that the failure names, or the next choice. */
  private learnHome (program: types.ProgramId, asked: types.HostId | undefined, failure: errors.Failure, unreachable: Set<types.HostId>): boolean {
    this.hints.delete(program)
    if (failure.tag === 'peerUnavailable' && asked !== undefined) {
      unreachable.add(asked)
      return this.homeOf(program, unreachable) !== asked
    }
    if (failure.tag !== 'notHome' || failure.home === null || failure.home === asked) return false
    const home = failure.home as types.HostId
    if (this.hints.size >= maxHints) this.hints.clear()
    this.hints.set(program, home)
    // Another host reaches it, so its new address is on its way here: worth another try, but not at once.
    return !unreachable.delete(home)
  }
}

function silentHome (host: types.HostId, afterMs: number): errors.Failure {
  return { tag: 'timeout', verdict: 'mayHaveRun', message: `no answer from ${host}; ask again with the same key`, afterMs }
}

/** Failures that say that the request did not find its home, or lost it on the way. */
function concernsHome (failure: errors.Failure): boolean {
  return failure.tag === 'notHome' || failure.tag === 'peerUnavailable' || failure.tag === 'shuttingDown'
}

function withVerdict (failure: errors.Failure, verdict: types.Verdict): errors.Failure {
  return { ...failure, verdict }
}
