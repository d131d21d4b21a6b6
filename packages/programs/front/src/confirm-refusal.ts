/** Confirms a final refusal with the store before it is sent to the client. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'

/** Dependencies for confirming a refusal. */
export interface ConfirmRefusalPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** The ledger's result for a turn that exceeds its program's budget. */
export type OverBudgetAdmission = Extract<turnLedger.Admission, { type: 'overBudget' }>

/** Returns whether the store confirms within the timeout, in ms, that this process still owns the shard, so that its ledger is current. */
export async function confirmOverBudget (ports: ConfirmRefusalPorts, shard: ownShards.OwnedShard, request: turnLedger.TurnRequest, admission: OverBudgetAdmission, timeoutMs: number): Promise<boolean> {
  const confirmed = await timerService.withTimeout(ports.timers, shard.confirmOwnership(), timeoutMs)
  ports.decisions.record({
    event: 'turnRefused',
    reason: 'over budget',
    request: request.turn,
    program: request.program,
    epoch: shard.epoch,
    detail: { confirmed: confirmed?.type, admission, budgetTokens: request.budgetTokens, maxTokens: request.maxTokens }
  })
  return confirmed?.type === 'committed'
}
