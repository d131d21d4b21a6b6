/** A program's home, with the decision packages that the sidecar uses, on the fakes. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as decideRetry from '@eelgrasswind/decide-retry'
import type * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import * as orderQueue from '@eelgrasswind/order-queue'
import * as placeCall from '@eelgrasswind/place-call'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as fakeEngine from './fake-engine.js'
import * as holdBook from './hold-book.js'
import type * as measures from './measures.js'
import * as prefixBook from './prefix-book.js'
import type * as randoms from './random.js'
import type * as rules from './rules.js'
import type * as upstreams from './upstream.js'
import type * as workload from './workload.js'

/** What all homes share. */
export interface World {
  readonly timers: timerService.TimerService
  readonly upstreams: readonly upstreams.Upstream[]
  readonly rules: rules.Rules
  readonly recorder: measures.Recorder
  readonly engine: fakeEngine.EngineSettings
  /** Sum of the demand of the other homes, as last reported. */
  readonly demandOfOthers: (home: Home) => number
}

/** One call of a program. */
export interface HomeCall {
  readonly script: workload.Script
  readonly prefix: string
  readonly isSubAgent: boolean
  readonly turnsDone: number
  readonly attainedTokens: number
  /** Tokens of the branch that were computed before. */
  readonly historyTokens: number
  readonly promptTokens: number
  readonly generatedTokens: number
  readonly retries: { budget: limitClient.RetryBudget }
  readonly onDone: (end: fakeEngine.JobEnd) => void
  readonly onGivenUp: () => void
}

/** A call under way; `cancel` stops it wherever it is. */
export interface RunningCall {
  cancel: () => void
}

/** How long a home avoids an upstream that refused a connection. */
const suspectMs = 30_000
const stretchShare = 0.05
const usualRunMs = 4_000
const worthShare = 0.02

export class Home {
  readonly holds: holdBook.HoldBook
  readonly prefixes: prefixBook.PrefixBook
  readonly meanUse = admitProgram.createMeanUtilization(0)
  readonly remaining = orderQueue.createRemainingEstimator()
  /** Calls that the programs that live here are expected to run at once. */
  demand = 0
  readonly #world: World
  readonly #host: types.HostId
  readonly #random: randoms.Random
  readonly #own = placeCall.createInFlightHistory()
  readonly #slow = placeCall.createSlowUpstreamDetector()
  readonly #suspectUntil = new Map<types.UpstreamId, number>()
  readonly #generated = new Map<types.KindId, number>()
  #processRetries = limitClient.createRetryBudget(limitClient.processRetrySettings)
  #turn: number
  #stretch = 1
  #meanCallTokens = 0
  #worth = 1 / orderQueue.defaultRemainingSettings.prior.runMs

  constructor (world: World, index: number, random: randoms.Random) {
    this.#world = world
    this.#host = world.upstreams[index]!.place.host
    this.#random = random
    this.#turn = index
    this.holds = new holdBook.HoldBook(world.rules.hold, world.recorder, world.timers)
    this.prefixes = new prefixBook.PrefixBook()
  }

  decideAdmission (script: workload.Script): admitProgram.AdmissionDecision {
    const live = this.#live()
    const work = this.remaining.estimate(script.profile.kind, 0)
    this.#worth += worthShare * (script.profile.weight / Math.max(1, work.runMs) - this.#worth)
    return admitProgram.decideAdmission(this.#world.rules.admit, {
      now: this.#world.timers.now(),
      deadline: script.deadline,
      weight: script.profile.weight,
      slots: this.#slots(),
      waiting: live.reduce((sum, upstream) => sum + (upstream.reported?.waiting ?? 0), 0),
      demand: this.#allDemand(),
      meanUtilization: this.meanUse.mean(),
      runMs: work.runMs,
      meanValueDensity: this.#worth,
      expectedMs: work.ms,
      expectedMsDeviation: work.msDeviation,
      slowdown: this.#stretch
    })
  }

  /** Takes a sample of the demand; to be called with every load report. */
  sampleUse (): void {
    this.meanUse.observe(this.#allDemand() / this.#slots(), this.#world.timers.now())
  }

  #allDemand (): number {
    return this.demand + this.#world.demandOfOthers(this)
  }

  #slots (): number {
    return this.#live().length * admitProgram.computeUsableSlots({ ...this.#world.engine, meanCallTokens: this.#meanCallTokens })
  }

  #live (): readonly upstreams.Upstream[] {
    return this.#world.upstreams.filter((upstream) => upstream.listed === 'live')
  }

  dispatch (call: HomeCall): RunningCall {
    this.holds.returned(call.prefix)
    this.#processRetries = limitClient.earnRetry(this.#processRetries)
    call.retries.budget = limitClient.earnRetry(call.retries.budget)
    this.#world.recorder.firstAttempts += 1
    const running = { cancel: (): void => {} }
    this.#attempt(call, running, 1)
    return running
  }

  #attempt (call: HomeCall, running: RunningCall, attempt: number): void {
    const now = this.#world.timers.now()
    const placement = this.#place(call)
    if (placement.type === 'none') {
      const failure: errors.Failure = { tag: 'upstreamUnavailable', verdict: 'notRun', message: placement.reason, retryAfterMs: placement.retryAfterMs }
      this.#failed(call, running, attempt, failure)
      return
    }
    this.#world.recorder.attempts += 1
    const upstream = this.#upstream(placement.upstream)
    this.#own.begin(placement.upstream, now)
    const submitted = this.#submission(call, running, attempt, upstream, placement.importFrom)
    this.holds.placed(call.prefix, upstream, placement.reason.type === 'spill')
    running.cancel = () => {
      this.#own.end(placement.upstream, this.#world.timers.now())
      upstream.cancel(submitted)
    }
    upstream.submit(submitted, this.#waitingCall(call, now))
  }

  #submission (call: HomeCall, running: RunningCall, attempt: number, upstream: upstreams.Upstream, importFrom: types.UpstreamId | undefined): upstreams.UpstreamCall {
    const name = upstream.place.upstream
    const submittedAt = this.#world.timers.now()
    const imported = importFrom === undefined ? 0 : this.#upstream(importFrom).engine.cache.tokensOf(call.prefix)
    const importedTokens = Math.min(imported, call.historyTokens)
    const fail = (verdict: types.Verdict): void => {
      this.#own.end(name, this.#world.timers.now())
      this.#suspectUntil.set(name, this.#world.timers.now() + suspectMs)
      this.#failed(call, running, attempt, { tag: 'upstreamUnavailable', verdict, message: name, retryAfterMs: 0 })
    }
    return {
      job: {
        prefix: call.prefix,
        promptTokens: call.promptTokens,
        generatedTokens: call.generatedTokens,
        importedTokens,
        importMs: importedTokens * (this.#importMsPerToken() ?? 0),
        onProgress: (tokens, elapsedMs) => this.#slow.observe(name, tokens, elapsedMs, this.#world.timers.now()),
        onEnd: (end) => this.#ended(call, upstream, submittedAt, end),
        onFail: () => fail('mayHaveRun')
      },
      onRefused: () => fail('notRun')
    }
  }

  #ended (call: HomeCall, upstream: upstreams.Upstream, submittedAt: number, end: fakeEngine.JobEnd): void {
    const now = this.#world.timers.now()
    const name = upstream.place.upstream
    const total = call.promptTokens + call.generatedTokens
    this.#own.end(name, now)
    this.prefixes.stored(call.prefix, name, total, now)
    this.#learn(call, submittedAt, end)
    this.#world.recorder.recomputedTokens += Math.max(0, call.historyTokens - end.cachedTokens)
    this.holds.ended(call, upstream, total)
    upstream.pump()
    call.onDone(end)
  }

  #learn (call: HomeCall, submittedAt: number, end: fakeEngine.JobEnd): void {
    const now = this.#world.timers.now()
    const tookMs = now - submittedAt
    this.#stretch += stretchShare * (tookMs / Math.max(1, end.runMs) - this.#stretch)
    this.#meanCallTokens += runShare(end.runMs) * (call.promptTokens + call.generatedTokens - this.#meanCallTokens)
    const kind = call.script.profile.kind
    const known = this.#generated.get(kind) ?? call.generatedTokens
    this.#generated.set(kind, known + stretchShare * (call.generatedTokens - known))
    const { decodeTokensPerSecond, prefillTokensPerSecond } = this.#world.engine
    const fresh = call.promptTokens - call.historyTokens
    const aloneMs = 1000 * (fresh / prefillTokensPerSecond + call.generatedTokens / decodeTokensPerSecond)
    this.#world.recorder.callEnded(now, tookMs / aloneMs, tookMs - end.runMs)
  }

  #failed (call: HomeCall, running: RunningCall, attempt: number, failure: errors.Failure): void {
    const now = this.#world.timers.now()
    const decision = decideRetry.decideRetry({
      failure,
      idempotent: true,
      attempt,
      programBudget: call.retries.budget,
      processBudget: this.#processRetries,
      now,
      deadline: call.script.expiresAt,
      random: this.#random.uniform
    })
    if (decision.type === 'giveUp') {
      call.onGivenUp()
      return
    }
    call.retries.budget = limitClient.spendRetry(call.retries.budget)
    this.#processRetries = limitClient.spendRetry(this.#processRetries)
    const timer = this.#world.timers.after(decision.afterMs, () => this.#attempt(call, running, attempt + 1))
    running.cancel = () => timer.cancel()
  }

  #place (call: HomeCall): placeCall.Placement {
    this.#turn += 1
    return placeCall.placeCall(this.#world.rules.place, {
      home: this.#host,
      lastUpstream: this.prefixes.lastUpstream(call.prefix),
      candidates: this.#world.upstreams.map((upstream) => this.#candidate(call, upstream)),
      promptTokens: call.promptTokens,
      expectedTokens: this.#generated.get(call.script.profile.kind) ?? 100,
      turn: this.#turn,
      random: this.#random.uniform
    })
  }

  #candidate (call: HomeCall, upstream: upstreams.Upstream): placeCall.Candidate {
    const now = this.#world.timers.now()
    const { place, reported } = upstream
    const suspect = (this.#suspectUntil.get(place.upstream) ?? 0) > now
    return {
      upstream: place.upstream,
      host: place.host,
      availabilityZone: place.availabilityZone,
      inFlight: this.#own.getInFlight(place.upstream),
      reported,
      inFlightAtReport: reported === undefined ? 0 : this.#own.getInFlightAt(place.upstream, reported.at),
      slots: this.#world.engine.slots,
      cachedTokens: Math.min(this.prefixes.cachedTokens(call.prefix, place.upstream), call.historyTokens),
      state: upstream.listed === 'leaving' ? 'leaving' : suspect ? 'suspect' : 'live',
      slowFactor: this.#world.rules.noticeSlow ? this.#slow.getSlowFactor(place.upstream, now) : 1
    }
  }

  #waitingCall (call: HomeCall, now: number): orderQueue.WaitingCall {
    const { script } = call
    return {
      program: script.program,
      kind: script.profile.kind,
      weight: script.profile.weight,
      deadline: script.deadline,
      enqueuedAt: now,
      attainedTokens: call.attainedTokens,
      expectedRemainingMs: this.remaining.estimate(script.profile.kind, call.turnsDone).ms
    }
  }

  #importMsPerToken (): number | undefined {
    const { place } = this.#world.rules
    return place.type === 'homeFirst' ? place.costs.importMsPerToken : undefined
  }

  #upstream (name: types.UpstreamId): upstreams.Upstream {
    return this.#world.upstreams.find((upstream) => upstream.place.upstream === name)!
  }
}

/** Share of the newest call in a mean over time: the longer it ran, the more. */
function runShare (runMs: number): number {
  return Math.min(1, stretchShare * runMs / usualRunMs)
}
