/** Reserves the tokens of turns of which nothing is kept: the owner only counts, the process that has the client runs the turn. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as confirmRefusal from './confirm-refusal.js'
import type * as peerCalls from './peer-calls.js'
import type * as programAdmission from './program-admission.js'
import type * as promptLocations from './prompt-locations.js'
import * as storeOutage from './store-outage.js'

/** What it takes to reserve tokens as the owner of a program. */
export interface ReservePorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly promptLocations: promptLocations.PromptLocations
  readonly admission: Pick<programAdmission.ProgramAdmission, 'admits' | 'notePrompt'>
}

/** The longest that an answer waits for the store, in ms: a slow append takes about this, and the asking process waits a little longer. */
const storeMs = 250

/** Reserves the tokens of a turn at a shard that this process owns and that serves. */
export async function reserveLocally (ports: ReservePorts, shard: ownShards.OwnedShard, call: peerCalls.ReserveCall): Promise<peerCalls.ReserveAnswer> {
  const { request } = call
  if (shard.ledger.isNewProgram(request.program) && !ports.admission.admits(request, call.service)) return { type: 'later', reason: 'upstreamsFull', retryAfterMs: admitProgram.loadRetryMs }
  ports.admission.notePrompt(call.service, call.promptTokens)
  const admission = shard.ledger.admitTurn(request, ports.timers.now() as types.EpochMs)
  switch (admission.type) {
    case 'overBudget': return refuse(ports, shard, request, admission)
    // Nothing is reserved for a turn that continues from another: such turns are kept, and run at their owner.
    case 'unknownPrevious': return { type: 'notOwner' }
    case 'admitted': {
      ports.decisions.note({ event: 'tokensReserved', request: request.turn, program: request.program, epoch: shard.epoch, covered: admission.isCovered, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens })
      const stored = admission.writes.length === 0 ? undefined : shard.commit(admission.writes)
      const reserved: peerCalls.ReserveAnswer = { type: 'reserved', holder: ports.promptLocations.find({ promptParts: call.promptParts, previous: undefined }).holder }
      if (admission.isCovered) return reserved
      const commit = storeOutage.isAway(shard) ? undefined : await timerService.within(ports.timers, stored ?? shard.confirmOwnership(), storeMs)
      if (commit?.type === 'committed') return reserved
      shard.ledger.settleTurn(request, { type: 'notRun' }, ports.timers.now() as types.EpochMs)
      return commit?.type === 'lost' ? { type: 'notOwner' } : { type: 'later', reason: 'storeAway', retryAfterMs: storeOutage.retryMs }
    }
  }
}

/** Counts what a turn made, and remembers where it ran for the program's next one. */
export function releaseLocally (ports: ReservePorts, shard: ownShards.OwnedShard, call: peerCalls.ReleaseCall): void {
  shard.ledger.settleTurn(call.request, { type: 'counted', tokens: call.tokens }, ports.timers.now() as types.EpochMs)
  if (call.upstream !== undefined) ports.promptLocations.note(call.request.turn, { promptParts: call.promptParts }, call.upstream)
}

async function refuse (ports: ReservePorts, shard: ownShards.OwnedShard, request: turnLedger.TurnRequest, admission: confirmRefusal.OverBudget): Promise<peerCalls.ReserveAnswer> {
  if (await confirmRefusal.confirmOverBudget(ports, shard, request, admission, storeMs)) return { type: 'overBudget' }
  return { type: 'later', reason: 'storeAway', retryAfterMs: storeOutage.retryMs }
}
