/** Admits new programs at the owner of their shard, by the load of the engines as this process knows it. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'

/** What it takes to admit programs. */
export interface ProgramAdmissionPorts {
  readonly upstreams: trackUpstreams.UpstreamList
  /** What other processes have running at the upstreams. */
  readonly loads: trackUpstreams.PeerLoads
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Refuses new programs while the engines have too much to do. */
export class ProgramAdmission {
  constructor (private readonly ports: ProgramAdmissionPorts) {}

  /** Whether the first turn of a program may run now. */
  admits (request: turnLedger.TurnRequest, service: types.ServiceId): boolean {
    const { upstreams, loads, timers, decisions, random } = this.ports
    const load = trackUpstreams.serviceLoad({ candidates: upstreams.ofService(service), othersRunning: (id) => loads.running(id), now: timers.monotonic() })
    if (admitProgram.admitByLoad({ load, random })) return true
    decisions.note({ event: 'turnRefused', reason: 'the engines have too much to do for a new program', request: request.turn, program: request.program, detail: { load: Math.round(load * 100) / 100, peers: loads.peerCount } })
    return false
  }
}
