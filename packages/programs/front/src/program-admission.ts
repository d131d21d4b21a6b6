/** Admits new programs at the owner of their shard, by the load of the engines as this process knows it. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'

/** What it takes to admit programs. */
export interface ProgramAdmissionPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  /** What other processes have running at the upstreams. */
  readonly peerLoads: trackUpstreams.PeerLoads
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** What the operator says of the engines of a service. */
  readonly findEngineRules: (service: types.ServiceId) => routeRequest.EngineRules | undefined
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** The part of a new prompt in the mean of those before. */
const newestPart = 0.02

/** Refuses new programs while the engines have too much to do. */
export class ProgramAdmission {
  /** Mean size of the prompts of a service, in tokens. */
  private readonly promptTokens = new Map<types.ServiceId, number>()

  constructor (private readonly ports: ProgramAdmissionPorts) {}

  /** A turn is about to be sent: learns what the engines' memory has to hold. Tokens: of the whole prompt; 0 where its client does not say. */
  notePrompt (service: types.ServiceId, tokens: number): void {
    if (tokens === 0) return
    const mean = this.promptTokens.get(service) ?? tokens
    this.promptTokens.set(service, mean + newestPart * (tokens - mean))
  }

  /** Whether the first turn of a program may run now. */
  admits (request: turnLedger.TurnRequest, service: types.ServiceId): boolean {
    const { upstreams, peerLoads: loads, timers, decisions, random } = this.ports
    const load = trackUpstreams.computeServiceLoad({ candidates: upstreams.getByService(service), othersRunning: (id) => loads.getRunning(id), now: timers.monotonic() })
    const holdsAllSlots = this.holdsAllSlots(service)
    if (admitProgram.admitByLoad({ load, holdsAllSlots, random })) return true
    decisions.note({ event: 'turnRefused', reason: 'the engines have too much to do for a new program', request: request.turn, program: request.program, detail: { load: Math.round(load * 100) / 100, peers: loads.peerCount, holdsAllSlots } })
    return false
  }

  private holdsAllSlots (service: types.ServiceId): boolean {
    const engine = this.ports.findEngineRules(service)
    const meanCallTokens = this.promptTokens.get(service)
    if (engine === undefined || meanCallTokens === undefined) return false
    return admitProgram.computeUsableSlots({ slots: engine.slots, cacheTokens: engine.memoryTokens, meanCallTokens }) >= engine.slots
  }
}
