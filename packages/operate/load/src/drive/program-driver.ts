/** Runs one planned program as its caller does. */
import type * as callerClient from '@eelgrasswind/caller-client'
import * as deployments from '../workload/deployments.js'
import type * as plan from '../workload/plan.js'
import type * as records from './records.js'
import type * as runClock from './run-clock.js'

export interface DriveSettings {
  readonly callers: readonly callerClient.CallerClient[]
  readonly model: string
  readonly service: string
  /** Begins the id of every program; new for each run. */
  readonly prefix: string
  readonly clock: runClock.RunClock
}

/** Times that a call is sent under one key. */
const maxAttempts = 5
const defaultRetryMs = 200
const charactersPerToken = 4
const filler = 'jersey, size, number; '
/** Failures after which the same key may be asked again although the call may have run. */
const asksAgain: ReadonlySet<string> = new Set(['answerBroken', 'inProgress', 'notHome', 'peerUnavailable', 'logUnavailable', 'shuttingDown'])
/** How a tool that hung until its timeout is answered; a timeout that stands in the history comes as `upstreamFailed`. */
const hungCodes: ReadonlySet<string> = new Set(['timeout', 'upstreamFailed'])
const budgetCodes: ReadonlySet<string> = new Set(['budgetExceeded', 'programFinished'])

type Failure = callerClient.CallerFailure

function promptText (program: string, key: string, tokens: number): string {
  return `${program} ${key} `.padEnd(tokens * charactersPerToken, filler)
}

interface Branch {
  readonly name: string
  seq: number
}

export class ProgramDriver {
  readonly record: records.ProgramRecord
  private readonly program: string
  private requests: number

  constructor (private readonly settings: DriveSettings, private readonly planned: plan.PlannedProgram) {
    const { index, kind, weight, fate, offeredAtMs, deadlineMs } = planned
    this.program = `${settings.prefix}-${index}`
    this.requests = index
    this.record = { index, kind, weight, fate, offeredAtMs, deadlineMs, starts: [], calls: [], end: 'unfinished', endedAtMs: offeredAtMs }
  }

  async run (): Promise<void> {
    const end = await this.runToEnd()
    this.record.endedAtMs = this.settings.clock.now()
    this.record.end = end
  }

  private async runToEnd (): Promise<records.ProgramEnd> {
    if (!await this.start()) return 'refused'
    const main: Branch = { name: 'main', seq: 1 }
    for (const [at, step] of this.planned.steps.entries()) {
      const failure = await this.runStep(main, step, at)
      if (failure !== null) return budgetCodes.has(failure.code) ? 'budget' : 'failed'
    }
    if (this.planned.fate === 'abandoned') return 'abandoned'
    const finished = await this.send(async (caller) => await caller.finish(this.program))
    if (finished.ok) return 'finished'
    this.noteFailure(finished.failure, false)
    return 'failed'
  }

  /** A refused start comes back once, after its Retry-After, unless its deadline has passed by then. */
  private async start (): Promise<boolean> {
    const first = await this.startOnce()
    if (first.type === 'started') return true
    if (first.retryAfterMs === null) return false
    if (this.settings.clock.now() + first.retryAfterMs >= this.planned.deadlineMs) return false
    await this.settings.clock.pause(first.retryAfterMs)
    const second = await this.startOnce()
    return second.type === 'started'
  }

  private async startOnce (): Promise<records.StartRecord> {
    const { kind, deadlineMs, wallMs } = this.planned
    const deadline = Math.round(this.settings.clock.startedAt + deadlineMs)
    const result = await this.caller().start(this.program, { kind, deadline, budget: { calls: deployments.budgetCalls, wallMs } })
    const record: records.StartRecord = result.ok ? { type: 'started' } : { type: 'refused', ...pick(result.failure), retryAfterMs: result.failure.retryAfterMs }
    this.record.starts.push(record)
    return record
  }

  private async runStep (main: Branch, step: plan.PlannedStep, at: number): Promise<Failure | null> {
    const failure = await this.runCall(main, step.call)
    if (failure !== null) return failure
    const agent: Branch = { name: `agent-${at}`, seq: 1 }
    for (const call of step.subAgent) {
      const agentFailure = await this.runCall(agent, call)
      if (agentFailure !== null) return agentFailure
    }
    await this.settings.clock.pause(step.pauseMs)
    return null
  }

  /** Null where the program goes on. */
  private async runCall (branch: Branch, call: plan.PlannedCall): Promise<Failure | null> {
    const place = { key: `${branch.name}-${branch.seq}`, branch: branch.name, seq: branch.seq }
    const failure = call.type === 'model' ? await this.callModel(place, call) : await this.callService(place, call)
    branch.seq += 1
    return failure
  }

  private async callModel (place: callerClient.CallMetadata, call: plan.PlannedCall & { type: 'model' }): Promise<Failure | null> {
    const { model } = this.settings
    const messages = [{ role: 'user', content: promptText(this.program, place.key, call.addedTokens) }]
    const result = await this.send(async (caller) => await caller.complete(this.program, { model, messages, maxTokens: call.maxTokens }, { ...place, idempotent: true }))
    if (!result.ok) return this.noteFailure(result.failure, false)
    const { firstTextMs, totalMs, promptTokens, cachedTokens, generatedTokens } = result.value
    this.record.calls.push({ type: 'model', firstTextMs, totalMs, promptTokens, cachedTokens, generatedTokens })
    return null
  }

  private async callService (place: callerClient.CallMetadata, call: plan.PlannedCall & { type: 'service' }): Promise<Failure | null> {
    const fullPlace = { ...place, idempotent: call.idempotent, ...(call.timeoutMs === null ? {} : { timeoutMs: call.timeoutMs }) }
    const ask = (): Promise<callerClient.CallerResult<callerClient.ServiceReply>> =>
      this.send(async (caller) => await caller.callService(this.program, this.settings.service, call.path, { program: this.program }, fullPlace))
    const result = await ask()
    // A program goes on without the answer of a tool that hung.
    const expected = call.path === deployments.hangPath && !result.ok && hungCodes.has(result.failure.code)
    if (!result.ok) return expected ? this.noteExpected(result.failure) : this.noteFailure(result.failure, false)
    const askedAgain = call.askAgain ? compareAnswers(result.value, await ask()) : 'no'
    this.record.calls.push({ type: 'service', totalMs: result.value.totalMs, askedAgain })
    return null
  }

  /** Sends again under the same key where that is safe: what did not run, or is answered from the history. */
  private async send<T> (ask: (caller: callerClient.CallerClient) => Promise<callerClient.CallerResult<T>>): Promise<callerClient.CallerResult<T>> {
    for (let attempt = 1; ; attempt += 1) {
      const result = await ask(this.caller())
      if (result.ok || attempt === maxAttempts) return result
      const { code, verdict, retryAfterMs } = result.failure
      if (!asksAgain.has(code) && (verdict !== 'notRun' || retryAfterMs === null)) return result
      await this.settings.clock.pause(retryAfterMs ?? defaultRetryMs)
    }
  }

  /** Entries take turns. */
  private caller (): callerClient.CallerClient {
    return this.settings.callers[this.requests++ % this.settings.callers.length]!
  }

  private noteFailure (failure: Failure, expected: boolean): Failure {
    this.record.calls.push({ type: 'failed', ...pick(failure), expected: expected || this.isBudgetOfLoop(failure) })
    return failure
  }

  private noteExpected (failure: Failure): null {
    this.noteFailure(failure, true)
    return null
  }

  private isBudgetOfLoop (failure: Failure): boolean {
    return this.planned.fate === 'loops' && budgetCodes.has(failure.code)
  }
}

function pick ({ code, verdict }: Failure): Pick<Failure, 'code' | 'verdict'> {
  return { code, verdict }
}

/** The same key must give the same answer. */
function compareAnswers (first: callerClient.ServiceReply, second: callerClient.CallerResult<callerClient.ServiceReply>): records.AskedAgain {
  if (!second.ok) return 'failed'
  return second.value.trailer.repeated && second.value.trailer.sha256 === first.trailer.sha256 ? 'answeredFromHistory' : 'ranAgain'
}
