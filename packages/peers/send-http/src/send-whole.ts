/** One request whose answer is wanted as a whole within a time limit. */
import type * as timerService from '@eelgrasswind/timer-service'
import type * as sendHttp from './send-http.js'

/** What came of the request. */
export type WholeOutcome =
  | { readonly type: 'answer', readonly status: number, readonly body: Buffer }
  | { readonly type: 'failed', readonly failure: sendHttp.SendFailure }

/**
 * Resolves at the latest after the time given, in ms, whatever state the connection is in: one that is still being made,
 * as to a host behind a cut, ends with the request.
 */
export function sendBuffered (sender: sendHttp.Sender, timers: timerService.TimerService, request: sendHttp.OutgoingRequest, timeoutMs: number): Promise<WholeOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let status = 0
    const exchange = sender.send(request, {
      onHead: (head) => { status = head.status },
      onData: (chunk) => { chunks.push(chunk) },
      onComplete: () => { finish({ type: 'answer', status, body: Buffer.concat(chunks) }) },
      onFailed: (failure) => { finish({ type: 'failed', failure }) }
    })
    const limit = timers.after(timeoutMs, () => {
      exchange.cancel()
      finish({ type: 'failed', failure: { verdict: 'mayHaveRun', cause: 'cancelled', detail: `no answer within ${timeoutMs} ms`, reused: false } })
    })
    const finish = (outcome: WholeOutcome): void => {
      limit.cancel()
      resolve(outcome)
    }
  })
}
