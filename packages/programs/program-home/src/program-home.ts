/** The home of programs: starts, calls, finishes, reads and hands over those that this process is the home of. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as metrics from '@eelgrasswind/metrics'
import * as programState from '@eelgrasswind/program-state'
import type * as retainPrefix from '@eelgrasswind/retain-prefix'
import type * as types from '@eelgrasswind/types'
import * as allowances from './allowance.js'
import * as callRunner from './call-runner.js'
import * as failures from './home-failures.js'
import * as homeMetrics from './home-metrics.js'
import * as journalWriter from './journal-writer.js'
import * as learnings from './learning.js'
import * as local from './local-program.js'
import * as reserve from './reserve-budget.js'
import * as runningCalls from './running-call.js'
import * as startProgram from './start-program.js'
import * as takeOvers from './take-over.js'

export interface ProgramHomeDeps extends Omit<callRunner.CallRunnerDeps, 'learning' | 'metrics'> {
  readonly metrics: metrics.Metrics
  readonly holdRule: () => retainPrefix.HoldRule
  readonly admissionRule: () => admitProgram.AdmissionRule
  readonly cacheUsed: (upstream: types.UpstreamId) => number
  /** Slots of the engines beside this process, and the calls that wait for them. */
  readonly getLocalSlots: () => { readonly slots: number, readonly waiting: number }
}

const retryMs = 500
/** How long a settled intent of an earlier home may run on, in milliseconds. */
const settlePatienceMs = 30_000

export class ProgramHome {
  private readonly programs = new Map<types.ProgramId, local.LocalProgram>()
  private readonly opening = new Map<types.ProgramId, Promise<errors.Result<local.LocalProgram>>>()
  private readonly learning: learnings.Learning
  private readonly runner: callRunner.CallRunner
  private readonly metrics: homeMetrics.HomeMetrics
  private draining = false

  constructor (private readonly deps: ProgramHomeDeps) {
    this.learning = new learnings.Learning(deps)
    this.metrics = new homeMetrics.HomeMetrics(deps.metrics, deps.timers.now)
    this.runner = new callRunner.CallRunner({ ...deps, learning: this.learning, metrics: this.metrics })
  }

  get programCount (): number {
    return this.programs.size
  }

  // ---- start

  async start (req: types.StartRequest, _ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    if (this.draining) return errors.fail(this.leavingFailure())
    const known = this.programs.get(req.program)
    if (known !== undefined) return this.sameStart(known.state, req)
    if (!this.deps.journal.isAvailable()) return errors.fail(failures.logUnavailable('notRun'))
    const head = await this.deps.journal.readHead(req.program)
    if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    if (head.value !== undefined) return await this.startAgain(req)
    const start = startProgram.completeStart(this.deps.config(), req, this.deps.timers.now())
    if (!start.ok) return start
    const admitted = this.admit(start.value)
    if (!admitted.ok) return admitted
    return await this.begin(start.value, req)
  }

  private sameStart (state: programState.ProgramState, req: types.StartRequest): errors.Result<types.ProgramDocument> {
    const field = startProgram.differingField(state.start, req)
    if (field === undefined) return errors.ok(this.documentOf(state, false))
    return errors.fail({ tag: 'startConflict', verdict: 'notRun', message: `program ${req.program} was started with another ${field}`, field })
  }

  private async startAgain (req: types.StartRequest): Promise<errors.Result<types.ProgramDocument>> {
    const opened = await this.open(req.program)
    return opened.ok ? this.sameStart(opened.value.state, req) : opened
  }

  private admit (start: types.ProgramStart): errors.Result<void> {
    const { slots, waiting } = this.deps.getLocalSlots()
    const input = this.learning.admissionInput(this.deps.config(), start, this.programs.values(), slots, waiting)
    const decision = admitProgram.decideAdmission(this.deps.admissionRule(), input)
    if (decision.type === 'admit') return errors.ok(undefined)
    this.metrics.programRefused(decision.reason)
    this.deps.logger.info({ program: start.program, reason: decision.reason }, 'start refused')
    return errors.fail({ tag: 'notAdmitted', verdict: 'notRun', message: `unlikely to finish in time: ${describe(decision.reason)}`, retryAfterMs: decision.retryAfterMs })
  }

  private async begin (start: types.ProgramStart, req: types.StartRequest): Promise<errors.Result<types.ProgramDocument>> {
    const { self, journal, timers } = this.deps
    const record: types.BeginRecord = { type: 'begin', program: start.program, n: 1, term: 0 as types.Term, start, home: self, at: timers.now() as types.EpochMs, allowance: allowances.firstAllowance(this.deps.config(), start) }
    const appended = await journal.append(record)
    if (!appended.ok) return appended
    const effect = journalWriter.checkEffect(record, appended.value)
    // Another process began it first, or an earlier copy of this very record took effect.
    if (!effect.ok) return await this.startAgain(req)
    this.metrics.programStarted()
    const opened = await this.open(start.program)
    return opened.ok ? errors.ok(this.documentOf(opened.value.state, false)) : opened
  }

  // ---- becoming and being the home

  /** The program at home here; this process becomes its home where it may. */
  private async open (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    const known = this.programs.get(program)
    if (known !== undefined) return errors.ok(known)
    const pending = this.opening.get(program)
    if (pending !== undefined) return await pending
    const opening = this.openNow(program).finally(() => this.opening.delete(program))
    this.opening.set(program, opening)
    return await opening
  }

  private async openNow (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    if (!this.deps.journal.isAvailable()) return errors.fail(failures.logUnavailable('notRun'))
    const state = await takeOvers.takeOver({ ...this.deps, onClaimed: () => this.metrics.programTakenOver() }, program)
    if (!state.ok) return state
    const opened = new local.LocalProgram(state.value, this.retryBudget())
    if (state.value.finished !== null) {
      this.deps.journal.release(program)
      return errors.ok(opened)
    }
    // A claim that was read meanwhile found no local program to end.
    if (!takeOvers.isHome(this.deps.self, state.value)) return errors.fail(movedAway(state.value))
    this.programs.set(program, opened)
    this.limitWallTime(opened)
    this.settleIntents(opened)
    return errors.ok(opened)
  }

  /** The configuration gives a program's retries for its whole life. */
  private retryBudget (): limitClient.RetryBudget {
    const { retryBudget } = this.deps.config().limits
    return limitClient.createRetryBudget({ ratio: 0, reserve: retryBudget, most: retryBudget })
  }

  /** As open, but another process that has become the home unnoticed is noticed: the journal is read first. */
  private async openConfirmed (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    if (this.programs.has(program)) {
      const head = await this.deps.journal.readHead(program)
      if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    }
    return await this.open(program)
  }

  private limitWallTime (program: local.LocalProgram): void {
    const leftMs = Math.max(0, reserve.wallLeftMs(program.state, this.deps.timers.now()))
    program.wallLimit = this.deps.timers.after(leftMs, () => { void this.expire(program) })
  }

  private async expire (program: local.LocalProgram): Promise<void> {
    await program.idle()
    if (this.programs.get(program.id) !== program) return
    const finished = await this.finishLocal(program, 'expired')
    if (finished.ok || this.programs.get(program.id) !== program) return
    program.wallLimit = this.deps.timers.after(retryMs, () => { void this.expire(program) })
  }

  /** Dispatches of an earlier home whose end is not known are found out now, not when their caller asks. */
  private settleIntents (program: local.LocalProgram): void {
    for (const intent of [...program.state.intents.values()]) {
      const { key, branch, seq, target, digest } = intent
      const call: types.Call = { program: program.id, client: program.state.start.client, key, branch, seq, idempotent: false, timeoutMs: settlePatienceMs, target }
      const running = new runningCalls.RunningCall(call, digest)
      program.running.set(key, running)
      this.runner.settleIntent(program, running).catch((err: unknown) => this.deps.logger.error({ err, program: program.id, key }, 'intent not settled'))
    }
  }

  /** Called when the journal shows that another process has become the home. */
  handleSuperseded (program: types.ProgramId): void {
    const known = this.programs.get(program)
    if (known === undefined) return
    this.deps.logger.warn({ program }, 'another process became the home')
    this.forget(known)
  }

  private forget (program: local.LocalProgram): void {
    program.releasing = true
    program.wallLimit?.cancel()
    this.programs.delete(program.id)
    this.deps.journal.release(program.id)
  }

  // ---- calls

  async call (call: types.Call, ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> {
    const opened = await this.openForCall(call)
    if (!opened.ok) return opened
    const result = await this.runner.call(opened.value, call, ctx, sink)
    if (result.ok || !concernsPlace(result.failure)) return result
    this.notePlaceRefused(opened.value, call, result.failure)
    const confirmed = await this.openConfirmed(call.program)
    return confirmed.ok ? await this.runner.call(confirmed.value, call, ctx, sink) : confirmed
  }

  private notePlaceRefused ({ state, running }: local.LocalProgram, { program, key, branch, seq }: types.Call, { tag, message }: errors.Failure): void {
    const { n, term, turns, intents } = state
    this.deps.logger.info({ program, key, branch, seq, tag, n, term, turns: turns.length, intents: [...intents.keys()], running: [...running.keys()] }, message)
  }

  private async openForCall (call: types.Call): Promise<errors.Result<local.LocalProgram>> {
    if (this.draining && this.programs.get(call.program)?.running.has(call.key) !== true) return errors.fail(this.leavingFailure())
    return await this.open(call.program)
  }

  private leavingFailure (): errors.Failure {
    return { tag: 'shuttingDown', verdict: 'notRun', message: `${this.deps.self.host} is leaving`, retryAfterMs: retryMs }
  }

  // ---- finish and read

  async finish (program: types.ProgramId, result: types.FinishResult, _ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    if (this.draining) return errors.fail(this.leavingFailure())
    const opened = await this.open(program)
    if (!opened.ok) return opened
    const { state } = opened.value
    if (state.finished !== null) return this.finishedAlready(state, result)
    if (opened.value.running.size > 0) {
      return errors.fail({ tag: 'inProgress', verdict: 'notRun', message: `${opened.value.running.size} calls are under way`, retryAfterMs: retryMs })
    }
    return await this.finishLocal(opened.value, result)
  }

  private finishedAlready (state: programState.ProgramState, result: types.FinishResult): errors.Result<types.ProgramDocument> {
    if (state.finished === result) return errors.ok(this.documentOf(state, false))
    return errors.fail({ tag: 'programFinished', verdict: 'notRun', message: `the program has ended: ${state.finished}`, result: state.finished ?? '' })
  }

  private async finishLocal (program: local.LocalProgram, result: types.FinishResult): Promise<errors.Result<types.ProgramDocument>> {
    program.releasing = true
    // The prefix goes even while the log is down: the program makes no more calls either way.
    this.learning.dropPrefix(program)
    const written = await journalWriter.writeRecord(this.deps.journal, program, { type: 'finish', result, at: this.deps.timers.now() as types.EpochMs })
    if (!written.ok) {
      program.releasing = false
      return written
    }
    this.learning.noteFinish(program)
    this.metrics.programFinished(program.state, result)
    const document = this.documentOf(program.state, false)
    this.forget(program)
    return errors.ok(document)
  }

  async read (program: types.ProgramId, history: boolean): Promise<errors.Result<types.ProgramDocument>> {
    const opened = history ? await this.openConfirmed(program) : await this.open(program)
    return opened.ok ? errors.ok(this.documentOf(opened.value.state, history)) : opened
  }

  async list (limit: number): Promise<errors.Result<readonly types.ProgramSummary[]>> {
    const summaries: types.ProgramSummary[] = []
    for (const program of this.programs.values()) {
      if (summaries.length >= limit) break
      summaries.push(this.summaryOf(program.state))
    }
    return errors.ok(summaries)
  }

  explain (program: types.ProgramId, key: types.RequestKey | null): types.CallExplanation {
    return { program, key, decisions: this.programs.get(program)?.decisionsTaken() ?? [] }
  }

  private documentOf (state: programState.ProgramState, history: boolean): types.ProgramDocument {
    return { summary: this.summaryOf(state), history: history ? [...state.turns] : null }
  }

  private summaryOf (state: programState.ProgramState): types.ProgramSummary {
    const { start, finished } = state
    return {
      program: start.program,
      client: start.client,
      kind: start.kind,
      state: finished === null ? 'running' : 'finished',
      result: finished,
      home: state.home.host,
      term: state.term,
      turns: state.turns.length,
      spent: programState.computeSpent(state),
      budget: start.budget,
      deadline: start.deadline,
      startedAt: state.at,
      complete: state.isComplete
    }
  }

  // ---- snapshots

  /** Writes a snapshot of each program whose first record would expire before long. */
  async writeSnapshots (): Promise<void> {
    for (const id of this.deps.journal.planSnapshots(this.deps.timers.now() as types.EpochMs)) {
      const program = this.programs.get(id)
      if (program === undefined) continue
      const written = await journalWriter.writeRecord(this.deps.journal, program, () => ({ type: 'snapshot', state: programState.createSnapshot(program.state) }))
      if (!written.ok) this.deps.logger.warn({ program: id, failure: written.failure }, 'snapshot not written')
    }
  }

  // ---- leaving

  /** Lets go of a program: no new calls, those under way end and are written. False where it was not at home here. */
  async release (program: types.ProgramId, askedBy: types.HostId): Promise<errors.Result<boolean>> {
    await this.opening.get(program)
    const known = this.programs.get(program)
    if (known === undefined) return errors.ok(false)
    known.releasing = true
    await known.idle()
    await this.giveBackAllowance(known)
    if (this.programs.get(program) !== known) return errors.ok(false)
    this.deps.logger.info({ program, askedBy }, 'released a program')
    this.forget(known)
    return errors.ok(true)
  }

  /** Takes no new calls and resolves when those under way have ended and are written. */
  async drain (): Promise<void> {
    this.draining = true
    await Promise.all([...this.programs.values()].map(async (program) => {
      await program.idle()
      await this.giveBackAllowance(program)
    }))
  }

  /** What this home will not use is not forfeited by the next claim. A log that is down only costs the program that. */
  private async giveBackAllowance (program: local.LocalProgram): Promise<void> {
    const { tokens, calls, microCost } = program.state.allowance
    if (program.state.finished !== null || tokens + calls + microCost === 0) return
    const written = await journalWriter.writeRecord(this.deps.journal, program, { type: 'allow', allowance: program.unrecorded })
    if (!written.ok) this.deps.logger.warn({ program: program.id, failure: written.failure }, 'allowance not given back')
  }
}

function movedAway ({ home, start }: programState.ProgramState): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message: `${home.host} became the home of ${start.program}`, home: home.host, retryAfterMs: retryMs }
}

/** Refusals that rest on the turns that this process knows of. */
function concernsPlace (failure: errors.Failure): boolean {
  return failure.tag === 'sequenceGap' || failure.tag === 'sequenceRepeat'
}

function describe (reason: admitProgram.AdmissionReason): string {
  switch (reason.type) {
    case 'rule': return 'the rule'
    case 'queue': return `${reason.waiting} calls wait, at most ${reason.most} may`
    case 'likelihood': return `likelihood ${reason.likelihood.toFixed(2)}, use ${reason.use.toFixed(2)}`
    case 'deadlineTooClose': return `the deadline is too close, likelihood ${reason.likelihood.toFixed(2)}`
    default: return errors.assertNever(reason)
  }
}
