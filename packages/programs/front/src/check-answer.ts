/** Checks whether the answer of an upstream may be relayed, and classifies the upstream's problem if not. */
import type * as errors from '@eelgrasswind/errors'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as dialects from './dialect.js'

/** Why an answer must not be relayed to the client. */
export interface AnswerRejection {
  readonly failure: errors.Failure
  /** The upstream is at capacity, another incarnation has taken over its address, or it violates the protocol. */
  readonly reason: 'full' | 'replaced' | 'faulty'
}

/** Rejects an answer that violates the protocol; the upstream may have processed the request. */
export function rejectAsFaulty (message: string, detail: string): AnswerRejection {
  return { failure: { tag: 'answerBroken', verdict: 'mayHaveRun', message, detail }, reason: 'faulty' }
}

/** Statuses with which this system tells clients that a request has not run and will not: no upstream that ran it may do so. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** The same for turns: the budget is spent, or the turn to continue from does not exist. */
const turnRefusalStatuses: ReadonlySet<number> = new Set([402, 404, 410])

/** The request that an answer claims to answer. */
export interface AnsweredRequest {
  readonly id: turnLedger.TurnId
  readonly isTurn: boolean
}

/** Returns `undefined` if the answer to the request may be relayed. */
export function checkAnswer (facts: dialects.AnswerFacts, head: sendHttp.AnswerHead, { id: request, isTurn }: AnsweredRequest): AnswerRejection | undefined {
  if (facts.requestId !== undefined && facts.requestId !== request) return rejectAsFaulty('answer has the id of another request', facts.requestId)
  // An unsigned refusal may lack the request id; a signed answer without it could belong to any request.
  if (facts.signed && facts.requestId === undefined) return rejectAsFaulty('signed answer has no request id', String(head.status))
  if (facts.wrongIncarnation && !facts.signed) {
    return { failure: { tag: 'wrongIncarnation', verdict: 'notRun', message: 'address belongs to another incarnation of the upstream' }, reason: 'replaced' }
  }
  if (facts.notRun) {
    return { failure: { tag: 'upstreamUnavailable', verdict: 'notRun', message: `refused with ${head.status}`, retryAfterMs: 0 }, reason: 'full' }
  }
  if (!facts.signed) return rejectAsFaulty('answer is not signed', String(head.status))
  if (notRunStatuses.has(head.status) || (isTurn && turnRefusalStatuses.has(head.status))) return rejectAsFaulty('signed answer has the status of a refusal', String(head.status))
  const encoding = head.headers['content-encoding']
  return encoding === undefined ? undefined : rejectAsFaulty('answer has an unsupported content encoding', encoding)
}
