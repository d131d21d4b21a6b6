import tap from 'tap'
import * as fc from 'fast-check'
import type * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as dispatchRecords from './dispatch-records.js'

const program = 'p1' as types.ProgramId
const key = 'print-1' as types.RequestKey
const upstream = 'kit-1' as types.UpstreamId

function createDispatch (): types.Dispatch {
  return {
    program,
    key,
    term: 1 as types.Term,
    upstream,
    intent: null,
    timeoutMs: 1_000,
    queue: { kind: 'k' as types.KindId, deadline: 0 as types.EpochMs, weight: 1, attainedTokens: 0, expectedRemainingMs: 0 },
    payload: { type: 'service', path: '/print', body: null }
  }
}

const answered: errors.Result<types.DispatchAnswer> = { ok: true, value: { outcome: { type: 'service', status: 200, body: 1 }, tokens: { prompt: 0, cached: 0, generated: 0 }, ranMs: 1, load: null } }

function failed (verdict: types.Verdict): errors.Result<types.DispatchAnswer> {
  return { ok: false, failure: { tag: 'upstreamFailed', verdict, message: 'failed', status: 500 } }
}

type Op =
  /** A home writes an intent, if the previous one is settled as notRun. */
  | { readonly type: 'intent' }
  /** A copy of an earlier dispatch arrives: delayed, out of order or duplicated. */
  | { readonly type: 'arrive', readonly which: number }
  /** The running call ends. */
  | { readonly type: 'end', readonly how: 'answered' | types.Verdict }
  /** A home seals the open intent to learn its state. */
  | { readonly type: 'seal' }
  | { readonly type: 'restart' }
  | { readonly type: 'wait', readonly ms: number }

const arbitraryOp: fc.Arbitrary<Op> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constant('intent' as const) }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constant('arrive' as const), which: fc.nat(5) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('end' as const), how: fc.constantFrom('answered' as const, 'notRun' as const, 'mayHaveRun' as const, 'ran' as const) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('seal' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.constantFrom(10, 30_000, dispatchRecords.recordRetentionMs) }) }
)

/** Simulates homes within the rules of the journal: one open intent at a time, and a new one only after notRun. */
class HomeSimulation {
  executionCount = 0
  private now = 1_000_000
  private runNumber = 1
  private records = dispatchRecords.createDispatchRecords(this.getIncarnation(), () => this.now)
  private intents: { readonly intent: types.DispatchIntent, isReportedNotRun: boolean }[] = []
  private hasOpenIntent = false
  private isClosed = false
  private running: (() => void) | undefined
  private endRunningCall: ((result: errors.Result<types.DispatchAnswer>) => void) | undefined

  private getIncarnation (): types.Incarnation {
    return `run-${this.runNumber}` as types.Incarnation
  }

  apply (op: Op): void {
    switch (op.type) {
      case 'intent': return this.writeIntent()
      case 'arrive': return this.arrive(op.which)
      case 'end': return this.end(op.how)
      case 'seal': return this.seal()
      case 'restart': return this.restart()
      case 'wait': this.now += op.ms; this.records.deleteExpired()
    }
  }

  private writeIntent (): void {
    if (this.hasOpenIntent || this.isClosed) return
    this.hasOpenIntent = true
    const position = (this.intents.length + 1) * 10 as types.Term
    this.intents.push({ intent: { position, at: this.now as types.EpochMs, incarnation: this.getIncarnation() }, isReportedNotRun: false })
  }

  private arrive (which: number): void {
    const sent = this.intents[which]
    if (sent === undefined) return
    const permission = this.records.permit(createDispatch(), sent.intent)
    if (permission.type !== 'run') return
    if (sent.isReportedNotRun) throw new Error('ran after notRun was reported')
    this.executionCount += 1
    const records = this.records
    let hasEnded = false
    records.recordWaiting(createDispatch(), sent.intent, () => { hasEnded = true }, Promise.resolve(answered))
    records.recordRunning(createDispatch())
    this.endRunningCall = (result) => {
      if (hasEnded) return
      hasEnded = true
      if (!result.ok && result.failure.verdict === 'notRun') this.executionCount -= 1
      records.recordEnded(createDispatch(), result)
    }
  }

  private end (how: 'answered' | types.Verdict): void {
    this.endRunningCall?.(how === 'answered' ? answered : failed(how))
    this.endRunningCall = undefined
  }

  private seal (): void {
    const last = this.intents.at(-1)
    if (!this.hasOpenIntent || last === undefined) return
    const { position, at, incarnation } = last.intent
    const state = this.records.seal({ program, key, upstream, intent: position, intentAt: at, incarnation })
    if (state.type === 'running') return
    this.hasOpenIntent = false
    last.isReportedNotRun = state.type === 'sealed'
    this.isClosed = !last.isReportedNotRun
  }

  private restart (): void {
    this.runNumber += 1
    this.endRunningCall = undefined
    this.records = dispatchRecords.createDispatchRecords(this.getIncarnation(), () => this.now)
  }
}

tap.test('a key runs at most once, and never after notRun was reported', async (t) => {
  fc.assert(fc.property(fc.array(arbitraryOp, { minLength: 10, maxLength: 40, size: 'max' }), (ops) => {
    const simulation = new HomeSimulation()
    for (const op of ops) {
      simulation.apply(op)
      if (simulation.executionCount > 1) throw new Error(`ran ${simulation.executionCount} times`)
    }
  }), { seed: 4, numRuns: 5_000 })
  t.pass('5000 schedules')
})

tap.test('a sealed intent is refused as notRun and a later one runs', async (t) => {
  const records = dispatchRecords.createDispatchRecords('run-1' as types.Incarnation, () => 0)
  const intent = (position: number): types.DispatchIntent => ({ position: position as types.Term, at: 0 as types.EpochMs, incarnation: 'run-1' as types.Incarnation })
  const sealed = records.seal({ program, key, upstream, intent: 10 as types.Term, intentAt: 0 as types.EpochMs, incarnation: 'run-1' as types.Incarnation })
  t.same(sealed, { type: 'sealed' })
  t.match(records.permit(createDispatch(), intent(10)), { type: 'refuse', failure: { tag: 'sealed', verdict: 'notRun' } })
  t.match(records.permit(createDispatch(), intent(11)), { type: 'run' })
})

tap.test('a dispatch to another incarnation of the process, or with a much too old intent, is refused', async (t) => {
  const records = dispatchRecords.createDispatchRecords('run-2' as types.Incarnation, () => 1_000_000)
  const intent = { position: 1 as types.Term, at: 1_000_000 as types.EpochMs, incarnation: 'run-1' as types.Incarnation }
  t.match(records.permit(createDispatch(), intent), { type: 'refuse', failure: { tag: 'wrongIncarnation', verdict: 'notRun' } })
  const old = { ...intent, incarnation: 'run-2' as types.Incarnation, at: (1_000_000 - dispatchRecords.maxIntentAgeMs - 1) as types.EpochMs }
  t.match(records.permit(createDispatch(), old), { type: 'refuse', failure: { field: 'intent.at', verdict: 'notRun' } })
})
