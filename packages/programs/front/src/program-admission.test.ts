import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as programAdmission from './program-admission.js'

const service = 'engines' as types.ServiceId
const request = { turn: 't1', program: 'p1' } as unknown as turnLedger.TurnRequest
const engine: routeRequest.EngineRules = { slots: 6, memoryTokens: 100_000, tokensPerEvent: 10 }

/** Admission control for one engine with `running` requests in flight; random numbers are always 0.5. */
function createAdmission (running: number, rules: routeRequest.EngineRules | undefined): programAdmission.ProgramAdmission {
  const upstreams = new trackUpstreams.UpstreamList()
  upstreams.put({ id: 'e1' as types.UpstreamId, service, address: 'e1:1', name: 'e1', slots: 6, leaving: false })
  upstreams.get('e1' as types.UpstreamId)!.running = running
  return new programAdmission.ProgramAdmission({
    upstreams,
    peerLoads: new trackUpstreams.PeerLoads(),
    timers: timerService.createManualTimers(),
    decisions: decisionLog.createSilentDecisionLog(),
    findEngineRules: () => rules,
    random: () => 0.5
  })
}

/** Whether a program is admitted while six requests use all six slots, after a prompt of the given size in tokens. */
function admitsAtFullSlots (rules: routeRequest.EngineRules | undefined, promptTokens: number): boolean {
  const admission = createAdmission(6, rules)
  admission.observePromptSize(service, promptTokens)
  return admission.tryAdmit(request, service)
}

tap.test('programs are admitted at full slots only if the cache holds prompts for all slots', (t) => {
  t.ok(admitsAtFullSlots(engine, 4_000), 'six prompts take a quarter of the cache')
  t.notOk(admitsAtFullSlots(engine, 14_000), 'six prompts take most of the cache')
  t.end()
})

tap.test('programs are not admitted at full slots if the size of prompts or cache is unknown', (t) => {
  t.notOk(admitsAtFullSlots(engine, 0), 'no client has stated a prompt size')
  t.notOk(admitsAtFullSlots(undefined, 4_000), 'the cache size is not configured')
  t.end()
})
