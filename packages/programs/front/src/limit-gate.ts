/** Lets requests of client accounts through as far as their limits go. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as meterAccount from '@eelgrasswind/meter-account'
import type * as accountLimits from './account-limits.js'
import type * as checkHead from './check-head.js'
import type * as inbound from './inbound.js'

/** What it takes to count requests. */
export interface LimitGatePorts {
  readonly limits: Pick<accountLimits.AccountLimits, 'take' | 'refund'>
  readonly decisions: decisionLog.DecisionLog
}

/** Counts the request against the limit of its account, or refuses it; what does not run in the end is taken back. */
export async function enforceAccountLimit (ports: LimitGatePorts, head: checkHead.CheckedHead, reply: inbound.Reply): Promise<boolean> {
  const { decisions, limits } = ports
  const { attempt, caller, kind, route, version } = head
  if (caller.type !== 'account') return true
  const { account } = caller
  const part = partOf(head)
  const taking = limits.take(account, part)
  const taken = taking instanceof Promise ? await taking : taking
  if (taken.type === 'limited') {
    const { by, requestsLeft, retryAfterMs } = taken
    decisions.note({ event: 'overLimit', request: attempt.id, program: attempt.program, account, route: route.name, part, by, requestsLeft: Math.round(requestsLeft), retryAfterMs, version })
    reply.refuse({ type: 'overLimit', retryAfterMs })
    return false
  }
  if (reply.over) {
    limits.refund(account, part)
    return false
  }
  reply.onEnd((end) => { if (hasNotRun(end, kind)) limits.refund(account, part) })
  return true
}

/** The first request of a program is known where its turns are kept: it continues from none. */
function partOf (head: checkHead.CheckedHead): meterAccount.RequestPosition {
  return head.route.retain?.keepsTurns === true && head.attempt.turn !== undefined && head.attempt.turn.previous === undefined ? 'first' : 'further'
}

/** Statuses with which this system says that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([402, 404, 429, 503])

/** Whether a request that has ended never ran: refused here, or at the owner of its program. */
function hasNotRun (end: inbound.ReplyEnd, kind: checkHead.CheckedHead['kind']): boolean {
  return notRunStatuses.has(end.status) && (end.outcome === 'refused' || kind === 'turn')
}
