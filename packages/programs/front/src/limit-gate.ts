/** Enforces the request limits of client accounts. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as meterAccount from '@eelgrasswind/meter-account'
import type * as accountLimits from './account-limits.js'
import type * as checkHead from './check-head.js'
import type * as inbound from './inbound.js'

/** Dependencies for enforcing account limits. */
export interface LimitGatePorts {
  readonly limits: Pick<accountLimits.AccountLimits, 'acquire' | 'refund'>
  readonly decisions: decisionLog.DecisionLog
}

/** Time that a request needs to run once it is admitted, in ms: about the duration of one to a plain service. */
const minRunMs = 200

/** Counts a request against the limit of its account and returns true, or refuses it. A request that turns out not to have run is refunded. `deadlineAt`: monotonic ms. */
export async function enforceAccountLimit (ports: LimitGatePorts, head: checkHead.CheckedHead, reply: inbound.Reply, deadlineAt: number): Promise<boolean> {
  const { decisions, limits } = ports
  const { attempt, caller, route, version } = head
  if (caller.type !== 'account') return true
  const { account } = caller
  const position = getRequestPosition(head)
  const pendingResult = limits.acquire(account, position, deadlineAt - minRunMs)
  const result = pendingResult instanceof Promise ? await pendingResult : pendingResult
  if (result.type === 'limited') {
    const { by, requestsLeft, retryAfterMs } = result
    decisions.record({ event: 'overLimit', request: attempt.id, program: attempt.program, account, route: route.name, part: position, by, requestsLeft: Math.round(requestsLeft), retryAfterMs, version })
    reply.refuse({ type: 'overLimit', retryAfterMs })
    return false
  }
  if (reply.over) {
    limits.refund(account, position, result.term)
    return false
  }
  reply.onEnd((end) => {
    if (!hasNotRun(end)) return
    decisions.record({ event: 'requestRefunded', request: attempt.id, account, status: end.status, source: end.source })
    limits.refund(account, position, result.term)
  })
  return true
}

/** The first request of a program can be recognized only on routes that retain turns: it is a turn without a previous one. */
function getRequestPosition (head: checkHead.CheckedHead): meterAccount.RequestPosition {
  return head.route.retain?.keepsTurns === true && head.attempt.turn !== undefined && head.attempt.turn.previous === undefined ? 'first' : 'further'
}

/** Statuses with which a front process states that a request has not run. An upstream may use them for a request that it ran. */
const notRunStatuses: ReadonlySet<number> = new Set([402, 404, 429, 503])

/** Whether a request never ran because this process or the owner of its program refused it. */
function hasNotRun ({ source, status }: inbound.ReplyEnd): boolean {
  return source === 'front' && notRunStatuses.has(status)
}
