/** Admission control for new programs at the owner of their shard, based on the engine load that this process knows of. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'

/** Dependencies for admitting programs. */
export interface ProgramAdmissionPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  /** Requests that other front processes have in flight at the upstreams. */
  readonly peerLoads: trackUpstreams.PeerLoads
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Returns the configured properties of a service's engines. */
  readonly findEngineRules: (service: types.ServiceId) => routeRequest.EngineRules | undefined
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number
}

/** Weight of a new prompt in the moving average of prompt sizes. */
const promptSmoothingFactor = 0.02

/** Refuses new programs while the engines are overloaded. */
export class ProgramAdmission {
  /** Moving average of a service's prompt sizes, in tokens. */
  private readonly meanPromptTokens = new Map<types.ServiceId, number>()

  constructor (private readonly ports: ProgramAdmissionPorts) {}

  /** Records the size of a whole prompt that is about to be sent, in tokens; 0 if the client doesn't state it. */
  observePromptSize (service: types.ServiceId, tokens: number): void {
    if (tokens === 0) return
    const mean = this.meanPromptTokens.get(service) ?? tokens
    this.meanPromptTokens.set(service, mean + promptSmoothingFactor * (tokens - mean))
  }

  /** Returns whether the first turn of a program may run now; logs a refusal. */
  tryAdmit (request: turnLedger.TurnRequest, service: types.ServiceId): boolean {
    const { upstreams, peerLoads, timers, decisions, random } = this.ports
    const load = trackUpstreams.computeServiceLoad({ candidates: upstreams.getByService(service), othersRunning: (id) => peerLoads.getRunning(id), now: timers.monotonic() })
    const holdsAllSlots = this.holdsAllSlots(service)
    if (admitProgram.admitByLoad({ load, holdsAllSlots, random })) return true
    decisions.record({ event: 'turnRefused', reason: 'the engines have too much to do for a new program', request: request.turn, program: request.program, detail: { load: Math.round(load * 100) / 100, peers: peerLoads.peerCount, holdsAllSlots } })
    return false
  }

  /** Whether the cache of an engine is large enough for prompts of average size in all of its slots; false if the sizes are unknown. */
  private holdsAllSlots (service: types.ServiceId): boolean {
    const engine = this.ports.findEngineRules(service)
    const meanCallTokens = this.meanPromptTokens.get(service)
    if (engine === undefined || meanCallTokens === undefined) return false
    return admitProgram.computeUsableSlots({ slots: engine.slots, cacheTokens: engine.memoryTokens, meanCallTokens }) >= engine.slots
  }
}
