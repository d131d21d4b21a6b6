/** The home of programs: starts, runs, finishes, reads and hands over the programs that this process owns. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as errors from '@eelgrasswind/errors'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as metrics from '@eelgrasswind/metrics'
import * as programState from '@eelgrasswind/program-state'
import type * as retainPrefix from '@eelgrasswind/retain-prefix'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as allowances from './allowance.js'
import * as callRunner from './call-runner.js'
import * as failures from './home-failures.js'
import * as homeMetrics from './home-metrics.js'
import * as journalWriter from './journal-writer.js'
import * as workloadModel from './workload-model.js'
import * as local from './local-program.js'
import * as reserve from './reserve-budget.js'
import * as runningCalls from './running-call.js'
import * as startProgram from './start-program.js'
import * as takeOvers from './take-over.js'

/** Dependencies of the home. */
export interface ProgramHomeDeps extends Omit<callRunner.CallRunnerDeps, 'workloadModel' | 'metrics'> {
  readonly metrics: metrics.Metrics
  readonly holdRule: () => retainPrefix.HoldRule
  readonly admissionRule: () => admitProgram.AdmissionRule
  readonly cacheUsed: (upstream: types.UpstreamId) => number
  /** Slots of the engines on this host, and the calls queued for them. */
  readonly getLocalSlots: () => { readonly slots: number, readonly waiting: number }
}

/** Retry-after time of refused requests. */
const retryAfterMs = 500
/** How long a release waits for the calls in flight, in milliseconds; less than the timeout of the process that asks for it. */
const releaseWaitMs = 1_000
/** How long to wait for a dispatch of an earlier home that is still running. */
const settleTimeoutMs = 30_000

/** Serves the requests to programs. Requests for a program that is not at home here take it over first, if allowed. */
export class ProgramHome {
  private readonly programs = new Map<types.ProgramId, local.LocalProgram>()
  private readonly pendingOpens = new Map<types.ProgramId, Promise<errors.Result<local.LocalProgram>>>()
  private readonly workloadModel: workloadModel.WorkloadModel
  private readonly runner: callRunner.CallRunner
  private readonly metrics: homeMetrics.HomeMetrics
  private isDraining = false

  constructor (private readonly deps: ProgramHomeDeps) {
    this.workloadModel = new workloadModel.WorkloadModel(deps)
    this.metrics = new homeMetrics.HomeMetrics(deps.metrics, deps.timers.now)
    this.runner = new callRunner.CallRunner({ ...deps, workloadModel: this.workloadModel, metrics: this.metrics })
  }

  /** Number of programs at home here. */
  get programCount (): number {
    return this.programs.size
  }

  // ---- start

  /** Starts a program. A repeat with the same fields returns the program as it is. */
  async start (req: types.StartRequest, _ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    if (this.isDraining) return errors.fail(this.createShuttingDownFailure())
    const openProgram = this.programs.get(req.program)
    if (openProgram !== undefined) return this.checkSameStart(openProgram.state, req)
    if (!this.deps.journal.isAvailable()) return errors.fail(failures.createLogUnavailableFailure('notRun'))
    const head = await this.deps.journal.readHead(req.program)
    if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    if (head.value !== undefined) return await this.openAndCheckStart(req)
    const start = startProgram.completeStart(this.deps.config(), req, this.deps.timers.now())
    if (!start.ok) return start
    const admitted = this.checkAdmission(start.value)
    if (!admitted.ok) return admitted
    return await this.appendBegin(start.value, req)
  }

  private checkSameStart (state: programState.ProgramState, req: types.StartRequest): errors.Result<types.ProgramDocument> {
    const field = startProgram.findDifferingField(state.start, req)
    if (field === undefined) return errors.ok(this.toDocument(state, false))
    return errors.fail({ tag: 'startConflict', verdict: 'notRun', message: `program ${req.program} was started with another ${field}`, field })
  }

  private async openAndCheckStart (req: types.StartRequest): Promise<errors.Result<types.ProgramDocument>> {
    const opened = await this.open(req.program)
    return opened.ok ? this.checkSameStart(opened.value.state, req) : opened
  }

  private checkAdmission (start: types.ProgramStart): errors.Result<void> {
    const { slots, waiting } = this.deps.getLocalSlots()
    const input = this.workloadModel.createAdmissionInput(this.deps.config(), start, this.programs.values(), slots, waiting)
    const decision = admitProgram.decideAdmission(this.deps.admissionRule(), input)
    if (decision.type === 'admit') return errors.ok(undefined)
    this.metrics.onProgramRefused(decision.reason)
    this.deps.logger.info({ program: start.program, reason: decision.reason }, 'program not admitted')
    return errors.fail({ tag: 'notAdmitted', verdict: 'notRun', message: `unlikely to finish in time: ${describeReason(decision.reason)}`, retryAfterMs: decision.retryAfterMs })
  }

  private async appendBegin (start: types.ProgramStart, req: types.StartRequest): Promise<errors.Result<types.ProgramDocument>> {
    const { self, journal, timers } = this.deps
    const record: types.BeginRecord = { type: 'begin', program: start.program, n: 1, term: 0 as types.Term, start, home: self, at: timers.now() as types.EpochMs, allowance: allowances.computeFirstAllowance(this.deps.config(), start) }
    const appended = await journal.append(record)
    if (!appended.ok) return appended
    const effect = journalWriter.checkEffect(record, appended.value)
    // Another process began the program first, or an earlier copy of this record took effect.
    if (!effect.ok) return await this.openAndCheckStart(req)
    this.metrics.onProgramStarted()
    const opened = await this.open(start.program)
    return opened.ok ? errors.ok(this.toDocument(opened.value.state, false)) : opened
  }

  // ---- ownership

  /** Returns the local program. If it is not at home here, this process takes it over if it may. */
  private async open (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    const openProgram = this.programs.get(program)
    if (openProgram !== undefined) return errors.ok(openProgram)
    const pending = this.pendingOpens.get(program)
    if (pending !== undefined) return await pending
    const pendingOpen = this.loadOrTakeOver(program).finally(() => this.pendingOpens.delete(program))
    this.pendingOpens.set(program, pendingOpen)
    return await pendingOpen
  }

  private async loadOrTakeOver (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    if (!this.deps.journal.isAvailable()) return errors.fail(failures.createLogUnavailableFailure('notRun'))
    const state = await takeOvers.takeOver({ ...this.deps, onClaimed: () => this.metrics.onProgramTakenOver() }, program)
    if (!state.ok) return state
    const opened = new local.LocalProgram(state.value, this.createRetryBudget())
    if (state.value.finished !== null) {
      this.deps.journal.release(program)
      return errors.ok(opened)
    }
    // A claim by another process that was read in the meantime found no local program to remove.
    if (!takeOvers.isHome(this.deps.self, state.value)) return errors.fail(createNotHomeFailure(state.value))
    this.programs.set(program, opened)
    this.startWallTimeout(opened)
    this.settleIntents(opened)
    return errors.ok(opened)
  }

  /** Creates a program's retry budget: the configured number of retries for its whole life. */
  private createRetryBudget (): limitClient.RetryBudget {
    const { retryBudget } = this.deps.config().limits
    return limitClient.createRetryBudget({ ratio: 0, reserve: retryBudget, most: retryBudget })
  }

  /** Like `open`, but reads the journal first, and so detects that another process has become the home. */
  private async openAfterHeadRead (program: types.ProgramId): Promise<errors.Result<local.LocalProgram>> {
    if (this.programs.has(program)) {
      const head = await this.deps.journal.readHead(program)
      if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    }
    return await this.open(program)
  }

  private startWallTimeout (program: local.LocalProgram): void {
    const remainingMs = Math.max(0, reserve.computeRemainingWallMs(program.state, this.deps.timers.now()))
    program.wallTimeout = this.deps.timers.after(remainingMs, () => { void this.expire(program) })
  }

  private async expire (program: local.LocalProgram): Promise<void> {
    await program.waitUntilIdle()
    if (this.programs.get(program.id) !== program) return
    const finished = await this.finishLocal(program, 'expired')
    if (finished.ok || this.programs.get(program.id) !== program) return
    program.wallTimeout = this.deps.timers.after(retryAfterMs, () => { void this.expire(program) })
  }

  /** Resolves open intents of an earlier home at once, not only when their callers retry. */
  private settleIntents (program: local.LocalProgram): void {
    for (const intent of [...program.state.intents.values()]) {
      const { key, branch, seq, target, digest } = intent
      const call: types.Call = { program: program.id, client: program.state.start.client, key, branch, seq, idempotent: false, timeoutMs: settleTimeoutMs, target }
      const runningCall = new runningCalls.RunningCall(call, digest)
      program.runningCalls.set(key, runningCall)
      this.runner.settleIntent(program, runningCall).catch((err: unknown) => this.deps.logger.error({ err, program: program.id, key }, 'could not settle the intent of an earlier home'))
    }
  }

  /** Removes the program; called when the journal shows that another process has become its home. */
  handleSuperseded (program: types.ProgramId): void {
    const openProgram = this.programs.get(program)
    if (openProgram === undefined) return
    this.deps.logger.warn({ program }, 'another process became the home of a program')
    this.removeProgram(openProgram)
  }

  private removeProgram (program: local.LocalProgram): void {
    program.isReleasing = true
    program.wallTimeout?.cancel()
    this.programs.delete(program.id)
    this.deps.journal.release(program.id)
  }

  // ---- calls

  /** Runs a call. If it is refused for its sequence number, it is checked again after the journal was read. */
  async call (call: types.Call, ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> {
    const opened = await this.openForCall(call)
    if (!opened.ok) return opened
    const result = await this.runner.runCall(opened.value, call, ctx, sink)
    if (result.ok || !isSequenceFailure(result.failure)) return result
    this.logSequenceRefusal(opened.value, call, result.failure)
    const confirmed = await this.openAfterHeadRead(call.program)
    return confirmed.ok ? await this.runner.runCall(confirmed.value, call, ctx, sink) : confirmed
  }

  /** Logs the state that a sequence failure was decided on. */
  private logSequenceRefusal ({ state, runningCalls }: local.LocalProgram, { program, key, branch, seq }: types.Call, { tag, message }: errors.Failure): void {
    const { n, term, turns, intents } = state
    this.deps.logger.info({ program, key, branch, seq, tag, n, term, turns: turns.length, intents: [...intents.keys()], running: [...runningCalls.keys()] }, message)
  }

  private async openForCall (call: types.Call): Promise<errors.Result<local.LocalProgram>> {
    if (this.isDraining && this.programs.get(call.program)?.runningCalls.has(call.key) !== true) return errors.fail(this.createShuttingDownFailure())
    return await this.open(call.program)
  }

  private createShuttingDownFailure (): errors.Failure {
    return { tag: 'shuttingDown', verdict: 'notRun', message: `host ${this.deps.self.host} is shutting down`, retryAfterMs }
  }

  // ---- finish and read

  /** Finishes a program. Refused while calls are in flight; a repeat with the same result succeeds. */
  async finish (program: types.ProgramId, result: types.FinishResult, _ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    if (this.isDraining) return errors.fail(this.createShuttingDownFailure())
    const opened = await this.open(program)
    if (!opened.ok) return opened
    const { state } = opened.value
    if (state.finished !== null) return this.checkSameResult(state, result)
    if (opened.value.runningCalls.size > 0) {
      return errors.fail({ tag: 'inProgress', verdict: 'notRun', message: `${opened.value.runningCalls.size} calls are in flight`, retryAfterMs })
    }
    return await this.finishLocal(opened.value, result)
  }

  private checkSameResult (state: programState.ProgramState, result: types.FinishResult): errors.Result<types.ProgramDocument> {
    if (state.finished === result) return errors.ok(this.toDocument(state, false))
    return errors.fail({ tag: 'programFinished', verdict: 'notRun', message: `the program has finished: ${state.finished}`, result: state.finished ?? '' })
  }

  private async finishLocal (program: local.LocalProgram, result: types.FinishResult): Promise<errors.Result<types.ProgramDocument>> {
    program.isReleasing = true
    // The prefix is dropped even if the log is unavailable: the program makes no more calls either way.
    this.workloadModel.dropPrefix(program)
    const written = await journalWriter.appendRecord(this.deps.journal, program, { type: 'finish', result, at: this.deps.timers.now() as types.EpochMs })
    if (!written.ok) {
      program.isReleasing = false
      return written
    }
    this.workloadModel.observeFinish(program)
    this.metrics.onProgramFinished(program.state, result)
    const document = this.toDocument(program.state, false)
    this.removeProgram(program)
    return errors.ok(document)
  }

  /** Returns a program, with all of its turns if `history` is true. */
  async read (program: types.ProgramId, history: boolean): Promise<errors.Result<types.ProgramDocument>> {
    const opened = history ? await this.openAfterHeadRead(program) : await this.open(program)
    return opened.ok ? errors.ok(this.toDocument(opened.value.state, history)) : opened
  }

  /** Lists up to `limit` programs at home here. */
  async list (limit: number): Promise<errors.Result<readonly types.ProgramSummary[]>> {
    const summaries: types.ProgramSummary[] = []
    for (const program of this.programs.values()) {
      if (summaries.length >= limit) break
      summaries.push(this.toSummary(program.state))
    }
    return errors.ok(summaries)
  }

  /** Returns the latest decisions on a program; none if it is not at home here. */
  explain (program: types.ProgramId, key: types.RequestKey | null): types.CallExplanation {
    return { program, key, decisions: this.programs.get(program)?.getDecisions() ?? [] }
  }

  private toDocument (state: programState.ProgramState, history: boolean): types.ProgramDocument {
    return { summary: this.toSummary(state), history: history ? [...state.turns] : null }
  }

  private toSummary (state: programState.ProgramState): types.ProgramSummary {
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

  /** Writes a snapshot of each program whose first record will soon expire. */
  async writeSnapshots (): Promise<void> {
    for (const id of this.deps.journal.planSnapshots(this.deps.timers.now() as types.EpochMs)) {
      const program = this.programs.get(id)
      if (program === undefined) continue
      const written = await journalWriter.appendRecord(this.deps.journal, program, () => ({ type: 'snapshot', state: programState.createSnapshot(program.state) }))
      if (!written.ok) this.deps.logger.warn({ program: id, failure: written.failure }, 'could not write a snapshot')
    }
  }

  // ---- release and drain

  /**
   * Releases a program whose calls have ended and are recorded. While it has calls in flight it stays here and accepts
   * further ones, and the request is refused with `inProgress`. False if the program is not at home here.
   */
  async release (program: types.ProgramId, askedBy: types.HostId): Promise<errors.Result<boolean>> {
    await this.pendingOpens.get(program)
    const openProgram = this.programs.get(program)
    if (openProgram === undefined) return errors.ok(false)
    await timerService.withTimeout(this.deps.timers, openProgram.waitUntilIdle(), releaseWaitMs)
    const callCount = openProgram.runningCalls.size
    if (callCount > 0) return errors.fail({ tag: 'inProgress', verdict: 'notRun', message: `${callCount} calls are in flight`, retryAfterMs })
    openProgram.isReleasing = true
    await this.returnAllowance(openProgram)
    if (this.programs.get(program) !== openProgram) return errors.ok(false)
    this.deps.logger.info({ program, askedBy }, 'released a program')
    this.removeProgram(openProgram)
    return errors.ok(true)
  }

  /** Accepts no new calls, and resolves when those in flight have ended and are recorded. */
  async drain (): Promise<void> {
    this.isDraining = true
    await Promise.all([...this.programs.values()].map(async (program) => {
      await program.waitUntilIdle()
      await this.returnAllowance(program)
    }))
  }

  /** Reduces the allowance to the unrecorded usage, so that the next claim doesn't count the rest as spent. If the log is unavailable, the program loses the rest. */
  private async returnAllowance (program: local.LocalProgram): Promise<void> {
    const { tokens, calls, microCost } = program.state.allowance
    if (program.state.finished !== null || tokens + calls + microCost === 0) return
    const written = await journalWriter.appendRecord(this.deps.journal, program, { type: 'allow', allowance: program.unrecordedUsage })
    if (!written.ok) this.deps.logger.warn({ program: program.id, failure: written.failure }, 'could not return an allowance')
  }
}

function createNotHomeFailure ({ home, start }: programState.ProgramState): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message: `${home.host} became the home of ${start.program}`, home: home.host, retryAfterMs }
}

/** Whether a failure was decided from the turns that this process knows, and so may rest on a stale state. */
function isSequenceFailure (failure: errors.Failure): boolean {
  return failure.tag === 'sequenceGap' || failure.tag === 'sequenceRepeat'
}

function describeReason (reason: admitProgram.AdmissionReason): string {
  switch (reason.type) {
    case 'rule': return 'refused by the admission rule'
    case 'queue': return `${reason.waiting} calls are queued, at most ${reason.most} are allowed`
    case 'likelihood': return `likelihood ${reason.likelihood.toFixed(2)}, utilization ${reason.use.toFixed(2)}`
    case 'deadlineTooClose': return `the deadline is too close, likelihood ${reason.likelihood.toFixed(2)}`
    default: return errors.assertNever(reason)
  }
}
