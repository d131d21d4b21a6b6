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

/** Refused programs that are remembered; the oldest go first. Many more than come back within the tries of a client. */
const mostRefused = 10_000

/** Refuses new programs while the engines have too much to do, and remembers who was told to come back. */
export class ProgramAdmission {
  private readonly refusals = new Map<types.ProgramId, number>()

  constructor (private readonly ports: ProgramAdmissionPorts) {}

  /** Whether the first turn of a program may run now. */
  admits (request: turnLedger.TurnRequest, service: types.ServiceId): boolean {
    const { upstreams, loads, timers, random } = this.ports
    const load = trackUpstreams.serviceLoad({ candidates: upstreams.ofService(service), othersRunning: (id) => loads.running(id), now: timers.monotonic() })
    const comeBacks = this.refusals.get(request.program) ?? 0
    if (admitProgram.admitByLoad({ load, comeBacks, random })) {
      this.refusals.delete(request.program)
      return true
    }
    this.remember(request.program, comeBacks + 1)
    this.ports.decisions.note({ event: 'turnRefused', reason: 'the engines have too much to do for a new program', request: request.turn, program: request.program, detail: { load: Math.round(load * 100) / 100, comeBacks } })
    return false
  }

  private remember (program: types.ProgramId, count: number): void {
    this.refusals.delete(program)
    this.refusals.set(program, count)
    const oldest = this.refusals.keys().next()
    if (this.refusals.size > mostRefused && !oldest.done) this.refusals.delete(oldest.value)
  }
}
