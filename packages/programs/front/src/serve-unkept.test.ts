import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as peerCalls from './peer-calls.js'
import * as serveUnkept from './serve-unkept.js'

const call: peerCalls.ReserveCall = {
  type: 'reserve',
  request: { turn: 't1' as turnLedger.TurnId, program: 'p1' as types.ProgramId, account: undefined, previous: undefined, maxTokens: 40, budgetTokens: 120, keeps: false, retainMs: 0 },
  service: 'engines' as types.ServiceId,
  promptTokens: 100,
  promptParts: []
}

/** What a peer hears that answers as given: not at all, or by refusing the connection. */
async function heardBy (answer: 'nothing' | 'refused') {
  const timers = timerService.createManualTimers()
  const heard: peerCalls.PeerCall[] = []
  const send: sendHttp.Sender['send'] = (request, sink) => {
    heard.push(peerCalls.decodeCall(Buffer.from(request.body)))
    if (answer === 'refused') timers.after(1, () => { sink.fail({ verdict: 'notRun', cause: 'refused', reused: false, detail: '' }) })
    return { cancel () {}, pause () {}, resume () {} }
  }
  const ports = { sender: { send, close () {} }, timers, decisions: decisionLog.createSilentDecisionLog() } as unknown as serveUnkept.UnkeptPorts
  const outcome = serveUnkept.reserve(ports, { type: 'peer', address: 'peer:1' }, call)
  await timers.advanceAsync(1_000)
  return { outcome: await outcome, heard }
}

tap.test('tokens whose reservation was not answered are given back', async (t) => {
  const { outcome, heard } = await heardBy('nothing')
  t.same(outcome, { type: 'none', ended: false })
  t.match(heard, [{ type: 'reserve' }, { type: 'release', tokens: 0, request: { turn: 't1' } }])
})

tap.test('a peer that has ended is told nothing more', async (t) => {
  const { outcome, heard } = await heardBy('refused')
  t.same(outcome, { type: 'none', ended: true })
  t.match(heard.map(({ type }) => type), ['reserve'])
})
