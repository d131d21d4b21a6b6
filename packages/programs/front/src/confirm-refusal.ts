/** Makes sure of a final refusal before a client is told. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'

/** What it takes to ask the store. */
export interface ConfirmPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** What the ledger found when it refused the turn. */
export type OverBudget = Extract<turnLedger.Admission, { type: 'overBudget' }>

/** Whether the refusal is true: the store confirms, within the time given in ms, that nobody else may know more of the program. */
export async function confirmOverBudget (ports: ConfirmPorts, shard: ownShards.OwnedShard, request: turnLedger.TurnRequest, admission: OverBudget, limitMs: number): Promise<boolean> {
  const confirmed = await timerService.within(ports.timers, shard.confirmOwnership(), limitMs)
  ports.decisions.note({
    event: 'turnRefused',
    reason: 'over budget',
    request: request.turn,
    program: request.program,
    epoch: shard.epoch,
    detail: { confirmed: confirmed?.type, admission, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens }
  })
  return confirmed?.type === 'committed'
}
