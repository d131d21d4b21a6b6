import tap from 'tap'
import * as limitClient from '@eelgrasswind/limit-client'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as checkCall from './check-call.js'
import * as local from './local-program.js'
import * as runningCalls from './running-call.js'

const program = 'p1' as types.ProgramId
const client = 'c' as types.ClientId
const main = 'main' as types.BranchId

function createCall (seq: number, key: string): types.Call {
  const target: types.CallTarget = { type: 'model', model: 'm' as types.ModelId, messages: [], maxTokens: 50, options: {} }
  return { program, client, key: key as types.RequestKey, branch: main, seq, idempotent: false, timeoutMs: 1_000, target }
}

function createTurnRecord (seq: number, key: string): types.TurnRecord {
  const { target } = createCall(seq, key)
  const outcome: types.CallOutcome = { type: 'message', message: { role: 'assistant', content: 'a' }, finishReason: 'stop' }
  const turn: types.Turn = { key: key as types.RequestKey, branch: main, seq, digest: key, target, outcome, usage: { tokens: 1, calls: 1, microCost: 1 }, tokens: { prompt: 1, cached: 0, generated: 1 }, upstream: 'u' as types.UpstreamId, startedAt: 1 as types.EpochMs, endedAt: 2 as types.EpochMs }
  return { type: 'turn', program, n: seq + 1, term: 10 as types.Term, turn }
}

function createIntentRecord (seq: number, key: string): types.IntentRecord {
  const target: types.CallTarget = { type: 'service', service: 'kit' as types.ServiceId, path: '/print', body: '' }
  const reserved = { tokens: 0, calls: 1, microCost: 1 }
  const dispatchTo = { host: 'kit-a' as types.HostId, incarnation: 'kit-a1' as types.Incarnation }
  return { type: 'intent', program, n: seq + 1, term: 10 as types.Term, key: key as types.RequestKey, branch: main, seq, digest: key, target, upstream: 'kit' as types.UpstreamId, dispatchTo, reserved, at: 3 as types.EpochMs }
}

/** Creates a program with one turn in its history, followed by the given records. */
function createProgram (...after: readonly types.JournalRecord[]): local.LocalProgram {
  const home = { host: 'h' as types.HostId, incarnation: 'h1' as types.Incarnation }
  const start = { program, client, kind: 'quote' as types.KindId, deadline: 5_000 as types.EpochMs, budget: { tokens: 1_000, calls: 10, microCost: 500, wallMs: 60_000 } }
  const begin: types.BeginRecord = { type: 'begin', program, n: 1, term: 0 as types.Term, start, home, at: 1_000 as types.EpochMs }
  let view: programState.ProgramView | undefined
  for (const [index, record] of [begin, createTurnRecord(1, 'k1'), ...after].entries()) view = programState.applyRecord(view, record, ((index + 1) * 10) as types.Term, programState.wholeStream).view
  return new local.LocalProgram(programState.getCompleteState(view)!, limitClient.createRetryBudget(limitClient.processRetrySettings))
}

tap.test('a call is refused while another call of its branch is in flight', (t) => {
  const localProgram = createProgram()
  localProgram.runningCalls.set('k2' as types.RequestKey, new runningCalls.RunningCall(createCall(2, 'k2'), 'k2'))
  t.match(checkCall.checkCall(localProgram, createCall(2, 'k3'), 'k3'), { type: 'refuse', failure: { tag: 'sequenceRepeat' } })
  t.end()
})

tap.test('a call whose turn is in the history does not block the next one, even while its append is not acknowledged', (t) => {
  const recorded = createProgram()
  recorded.runningCalls.set('k1' as types.RequestKey, new runningCalls.RunningCall(createCall(1, 'k1'), 'k1'))
  t.match(checkCall.checkCall(recorded, createCall(1, 'k1'), 'k1'), { type: 'finished' })
  t.same(checkCall.checkCall(recorded, createCall(2, 'k2'), 'k2'), { type: 'run' })
  t.end()
})

tap.test('a call with an unused sequence number gets sequenceGap, not sequenceRepeat, while the intent before it is being resolved', (t) => {
  const resumed = createProgram(createIntentRecord(2, 'k2'))
  resumed.runningCalls.set('k2' as types.RequestKey, new runningCalls.RunningCall(createCall(2, 'k2'), 'k2'))
  t.match(checkCall.checkCall(resumed, createCall(3, 'k3'), 'k3'), { type: 'refuse', failure: { tag: 'sequenceGap', verdict: 'notRun', expectedSeq: 2 } })
  t.match(checkCall.checkCall(resumed, createCall(2, 'k3'), 'k3'), { type: 'refuse', failure: { tag: 'sequenceRepeat' } })
  t.end()
})
