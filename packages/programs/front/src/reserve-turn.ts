/** Reserves tokens for turns that are not retained. The owner only does the accounting; the process that took the client's request runs the turn. */
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

/** Dependencies for reserving tokens as the owner of a program. */
export interface ReservePorts extends storeOutage.UnstoredPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly promptLocations: promptLocations.PromptLocations
  readonly admission: Pick<programAdmission.ProgramAdmission, 'tryAdmit' | 'observePromptSize'>
}

/** Timeout for the store, in ms: about the duration of a slow append, and slightly less than the timeout of the calling process. */
const storeTimeoutMs = 250

/** Reserves the tokens of a turn in a shard that this process owns and that is in state `serving`. */
export async function reserveLocally (ports: ReservePorts, shard: ownShards.OwnedShard, call: peerCalls.ReserveCall): Promise<peerCalls.ReserveAnswer> {
  const { request } = call
  if (storeOutage.isBacklogFull(ports, shard) && !shard.ledger.covers(request, ports.timers.now() as types.EpochMs)) return { type: 'later', reason: 'storeAway', retryAfterMs: storeOutage.outageRetryMs }
  if (shard.ledger.isNewProgram(request.program) && !ports.admission.tryAdmit(request, call.service)) return { type: 'later', reason: 'upstreamsFull', retryAfterMs: admitProgram.loadRetryMs }
  ports.admission.observePromptSize(call.service, call.promptTokens)
  const admission = shard.ledger.admitTurn(request, ports.timers.now() as types.EpochMs)
  switch (admission.type) {
    case 'overBudget': return refuseOverBudget(ports, shard, request, admission)
    // A turn that continues another one is retained, and runs at the owner of its program without a reservation call.
    case 'unknownPrevious': return { type: 'notOwner' }
    case 'admitted': {
      ports.decisions.record({ event: 'tokensReserved', request: request.turn, program: request.program, epoch: shard.epoch, covered: admission.isCovered, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens })
      const pendingCommit = admission.writes.length === 0 ? undefined : shard.commit(admission.writes)
      const reserved: peerCalls.ReserveAnswer = { type: 'reserved', holder: ports.promptLocations.findAffinity({ promptParts: call.promptParts, previous: undefined }).holder }
      if (admission.isCovered) return reserved
      const commit = storeOutage.isStoreUnresponsive(shard) ? undefined : await timerService.withTimeout(ports.timers, pendingCommit ?? shard.confirmOwnership(), storeTimeoutMs)
      if (commit?.type === 'committed') return reserved
      shard.ledger.settleTurn(request, { type: 'notRun' }, ports.timers.now() as types.EpochMs)
      return commit?.type === 'lost' ? { type: 'notOwner' } : { type: 'later', reason: 'storeAway', retryAfterMs: storeOutage.outageRetryMs }
    }
  }
}

/** Settles the actual token count of a turn, and records its upstream for the program's next turn. */
export function releaseLocally (ports: ReservePorts, shard: ownShards.OwnedShard, call: peerCalls.ReleaseCall): void {
  shard.ledger.settleTurn(call.request, { type: 'counted', tokens: call.tokens }, ports.timers.now() as types.EpochMs)
  if (call.upstream !== undefined) ports.promptLocations.recordLocation(call.request.turn, { promptParts: call.promptParts }, call.upstream)
}

async function refuseOverBudget (ports: ReservePorts, shard: ownShards.OwnedShard, request: turnLedger.TurnRequest, admission: confirmRefusal.OverBudgetAdmission): Promise<peerCalls.ReserveAnswer> {
  if (await confirmRefusal.confirmOverBudget(ports, shard, request, admission, storeTimeoutMs)) return { type: 'overBudget' }
  return { type: 'later', reason: 'storeAway', retryAfterMs: storeOutage.outageRetryMs }
}
