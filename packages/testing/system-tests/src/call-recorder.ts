/** Sends calls through the entries and checks what callers are told against what the stand-ins ran. */
import * as callerClient from '@eelgrasswind/caller-client'
import * as standIns from '@eelgrasswind/stand-ins'
import type * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'

export const model = 'quote-8b'
export const service = 'kit-orders'
export const kind = 'roster-walk'
export const maxTokens = 16

/** One call of a program as its caller knows it. */
export interface CallRequest {
  readonly program: string
  readonly key: string
  readonly seq: number
  readonly branch?: string
  readonly timeoutMs?: number
  readonly target:
    | { readonly type: 'model', readonly text: string, readonly maxTokens?: number }
    | { readonly type: 'service', readonly body: unknown, readonly idempotent: boolean, readonly path?: string }
}

export type Answer = callerClient.CallerResult<callerClient.Completion | callerClient.ServiceReply>

interface KeyRecord {
  readonly req: CallRequest
  open: number
  /** An earlier attempt was told that it may have run, or overlapped with another: a later notRun is not checked. */
  uncertain: boolean
  /** Executions when an attempt was told notRun; they must stand until the next attempt. */
  ranAtNotRun: number | undefined
  /** Text or body of the answer that the caller took for whole. */
  taken: string | undefined
}

export interface RecorderCounts {
  attempts: number
  whole: number
  failed: number
  notRun: number
  /** Refusals with notRun that were compared with the stand-ins' counts. */
  notRunChecked: number
}

/** A call to a model. */
export function modelCall (program: string, key: string, seq: number, options: { readonly branch?: string, readonly text?: string, readonly maxTokens?: number, readonly timeoutMs?: number } = {}): CallRequest {
  const { text = `${program} ${key}`, maxTokens: most, ...place } = options
  return { program, key, seq, ...place, target: { type: 'model', text, ...(most === undefined ? {} : { maxTokens: most }) } }
}

/** A call that must not be repeated, unless said otherwise. */
export function serviceCall (program: string, key: string, seq: number, options: { readonly branch?: string, readonly idempotent?: boolean, readonly path?: string, readonly timeoutMs?: number } = {}): CallRequest {
  const { idempotent = false, path, ...place } = options
  return { program, key, seq, ...place, target: { type: 'service', body: { program, key }, idempotent, ...(path === undefined ? {} : { path }) } }
}

export class CallRecorder {
  readonly violations: string[] = []
  readonly counts: RecorderCounts = { attempts: 0, whole: 0, failed: 0, notRun: 0, notRunChecked: 0 }
  private readonly keys = new Map<string, KeyRecord>()
  private readonly callers = new Map<string, callerClient.CallerClient>()

  constructor (private readonly system: testUtils.System) {}

  /** A client of an entry's present process. */
  caller (entry = 0): callerClient.CallerClient {
    const { host } = this.system.plan.entries[entry]!
    const { address } = this.system.entries.get(host)!
    const known = this.callers.get(address) ?? new callerClient.CallerClient({ address, token: this.system.plan.token })
    this.callers.set(address, known)
    return known
  }

  async close (): Promise<void> {
    await Promise.all([...this.callers.values()].map((caller) => caller.close()))
  }

  executions (program: string, key: string): number {
    const id = `${program}/${key}`
    let sum = 0
    for (const engine of this.system.engines.values()) sum += engine.executions(id)
    for (const one of this.system.services.values()) sum += one.executions(id)
    return sum
  }

  /** Sends one attempt of a call through an entry. */
  async ask (req: CallRequest, entry = 0): Promise<Answer> {
    const record = this.recordOf(req)
    const ranBefore = this.executions(req.program, req.key)
    this.checkStillNotRun(record, ranBefore)
    if (record.open > 0) record.uncertain = true
    record.open += 1
    this.counts.attempts += 1
    const answer = await this.send(req, entry)
    record.open -= 1
    if (answer.ok) this.noteWhole(record, answer.value)
    else this.noteFailure(record, answer.failure, ranBefore)
    return answer
  }

  /** Asks again with the same key, through one entry after another, until the answer is whole or the time is up. */
  async askUntilWhole (req: CallRequest, withinMs: number, entry = 0): Promise<Answer> {
    const until = performance.now() + withinMs
    for (let count = 0; ; count += 1) {
      const answer = await this.ask(req, (entry + count) % this.system.plan.entries.length)
      if (answer.ok || isFinal(answer.failure) || performance.now() > until) return answer
      await pause(Math.min(answer.failure.retryAfterMs ?? askPauseMs, askPauseMs))
    }
  }

  private recordOf (req: CallRequest): KeyRecord {
    const name = `${req.program}/${req.key}`
    const record = this.keys.get(name) ?? { req, open: 0, uncertain: false, ranAtNotRun: undefined, taken: undefined }
    this.keys.set(name, record)
    return record
  }

  private async send (req: CallRequest, entry: number): Promise<Answer> {
    const { program, key, seq, branch, timeoutMs, target } = req
    const place = { key, seq, ...(branch === undefined ? {} : { branch }), ...(timeoutMs === undefined ? {} : { timeoutMs }) }
    const caller = this.caller(entry)
    if (target.type === 'service') return await caller.callService(program, service, target.path ?? '/print', target.body, { ...place, idempotent: target.idempotent })
    const messages = [{ role: 'user', content: target.text }]
    return await caller.complete(program, { model, messages, maxTokens: target.maxTokens ?? maxTokens }, place)
  }

  private checkStillNotRun (record: KeyRecord, ran: number): void {
    if (record.uncertain || record.ranAtNotRun === undefined || record.ranAtNotRun === ran) return
    this.violate(record, `ran after its caller was told notRun: ${record.ranAtNotRun} executions then, ${ran} now`)
  }

  private noteWhole (record: KeyRecord, value: callerClient.Completion | callerClient.ServiceReply): void {
    this.counts.whole += 1
    record.ranAtNotRun = undefined
    const text = 'text' in value ? value.text : JSON.stringify(value.body)
    if (record.taken !== undefined && record.taken !== text) this.violate(record, 'two different whole answers')
    record.taken = text
    if ('body' in value) this.checkEcho(record, value.body)
  }

  private checkEcho (record: KeyRecord, body: unknown): void {
    const echo = (body as Partial<standIns.ServiceReply> | null)?.echo as { program?: string, key?: string } | undefined
    const { program, key } = record.req
    if (echo?.program !== program || echo.key !== key) this.violate(record, `the answer of another request: ${JSON.stringify(body)}`)
  }

  private noteFailure (record: KeyRecord, failure: callerClient.CallerFailure, ranBefore: number): void {
    this.counts.failed += 1
    record.ranAtNotRun = undefined
    if (failure.verdict !== 'notRun') {
      record.uncertain = true
      return
    }
    this.counts.notRun += 1
    if (record.uncertain || record.open > 0) return
    this.counts.notRunChecked += 1
    const ran = this.executions(record.req.program, record.req.key)
    record.ranAtNotRun = ran
    if (ran !== ranBefore) this.violate(record, `told notRun (${failure.code}: ${failure.message}), but it ran`)
  }

  /** At the end: nothing ran after notRun, and no call that must not be repeated ran twice. */
  checkCounts (): void {
    for (const record of this.keys.values()) {
      const { program, key, target } = record.req
      const ran = this.executions(program, key)
      this.checkStillNotRun(record, ran)
      if (target.type === 'service' && !target.idempotent && ran > 1) this.violate(record, `ran ${ran} times`)
    }
  }

  /** Whether a history is whole: in order by branch, its own calls only, all that callers have taken, each answer to its own prompt. */
  checkHistory (program: string, turns: readonly types.Turn[]): void {
    const next = new Map<string, number>()
    const prompts = new Map<string, types.ChatMessage[]>()
    for (const turn of turns) {
      const expected = next.get(turn.branch) ?? 1
      next.set(turn.branch, expected + 1)
      if (turn.seq !== expected) this.violations.push(`${program}: ${turn.branch}/${turn.seq} stands where ${expected} should`)
      this.checkTurn(program, turn, prompts)
    }
    const known = new Set<string>(turns.map((turn) => turn.key))
    for (const record of this.keys.values()) {
      if (record.req.program === program && record.taken !== undefined && !known.has(record.req.key)) this.violate(record, 'its answer was given to its caller, but it is not in the history')
    }
  }

  private checkTurn (program: string, turn: types.Turn, prompts: Map<string, types.ChatMessage[]>): void {
    const record = this.keys.get(`${program}/${turn.key}`)
    if (record === undefined) {
      this.violations.push(`${program}: ${turn.key} in the history was never sent`)
      return
    }
    const { outcome, target } = turn
    if (outcome.type === 'service') this.checkTaken(record, JSON.stringify(outcome.body))
    if (outcome.type !== 'message' || target.type !== 'model') return
    const prompt = prompts.get(turn.branch) ?? []
    prompt.push(...target.messages)
    const { text } = standIns.answerTo({ model: target.model, messages: prompt, maxTokens: target.maxTokens, ignoreEnd: false })
    if (outcome.message.content !== text) this.violate(record, `the answer to another prompt than the ${prompt.length} messages of its branch`)
    prompt.push(outcome.message)
    prompts.set(turn.branch, prompt)
    this.checkTaken(record, text)
  }

  private checkTaken (record: KeyRecord, text: string): void {
    if (record.taken !== undefined && record.taken !== text) this.violate(record, 'its caller has another answer than the history')
  }

  private violate (record: KeyRecord, what: string): void {
    this.violations.push(`${record.req.program}/${record.req.key}: ${what}`)
  }
}

/** Longest time between two attempts, in milliseconds. */
const askPauseMs = 200

/** Whether asking again with the same key would give the same failure. */
export function isFinal (failure: callerClient.CallerFailure): boolean {
  switch (failure.code) {
    case 'upstreamFailed': return failure.status === 502 && failure.verdict !== 'notRun'
    case 'budgetExceeded':
    case 'programFinished':
    case 'sequenceRepeat':
    case 'keyReused':
    case 'startConflict':
    case 'invalidRequest':
    case 'unknownProgram':
    case 'unknownTarget':
    case 'historyIncomplete': return true
    default: return false
  }
}

export function pause (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}
