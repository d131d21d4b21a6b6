/** Whether the head of an upstream's answer may be passed on, and what it says of the upstream if not. */
import type * as errors from '@eelgrasswind/errors'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as dialects from './dialect.js'

/** An answer that is of no use to the client. */
export interface Useless {
  readonly failure: errors.Failure
  /** Of the upstream: it has no room now, another incarnation has its address, or it answers wrongly. */
  readonly says: 'full' | 'replaced' | 'faulty'
}

/** An answer that breaks the rules of the exchange: the upstream may have worked on the request. */
export function faulty (message: string, detail: string): Useless {
  return { failure: { tag: 'answerBroken', verdict: 'mayHaveRun', message, detail }, says: 'faulty' }
}

/** `undefined` where the answer to the request may be passed on. */
export function checkAnswer (facts: dialects.AnswerFacts, head: sendHttp.Head, request: turnLedger.TurnId): Useless | undefined {
  if (facts.requestId !== undefined && facts.requestId !== request) return faulty('answer to another request', facts.requestId)
  // An unsigned refusal may lack the id; a signed answer without it could be anybody's.
  if (facts.signed && facts.requestId === undefined) return faulty('signed answer without id', String(head.status))
  if (facts.wrongIncarnation) {
    return { failure: { tag: 'wrongIncarnation', verdict: 'notRun', message: 'another incarnation has the address' }, says: 'replaced' }
  }
  if (facts.notRun) {
    return { failure: { tag: 'upstreamUnavailable', verdict: 'notRun', message: `refused with ${head.status}`, retryAfterMs: 0 }, says: 'full' }
  }
  if (!facts.signed) return faulty('answer without signature', String(head.status))
  const encoding = head.headers['content-encoding']
  return encoding === undefined ? undefined : faulty('encoded answer', encoding)
}
