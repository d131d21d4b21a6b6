/** Sends a request and buffers its whole answer, within a time limit. */
import * as messageFraming from '@eelgrasswind/message-framing'
import type * as timerService from '@eelgrasswind/timer-service'
import * as pendingEvents from './pending-events.js'
import type * as sendHttp from './send-http.js'

/** Complete answer, or why there is none. */
export type BufferedOutcome =
  | { readonly type: 'answer', readonly status: number, readonly body: Buffer }
  | { readonly type: 'failed', readonly failure: sendHttp.SendFailure }

/**
 * Sends a request and resolves with its buffered answer. Resolves after `timeoutMs` at the latest, whatever the state of
 * the connection: one still being established, such as to a host behind a network partition, is closed with the request.
 * With `lateAnswerMs` an established connection is kept for that much longer, so that it can be used again after a late
 * answer: a server that is late because it is busy is not made busier by new connections. A signal ends the request before
 * its time.
 */
export function sendBuffered (sender: sendHttp.Sender, timers: timerService.TimerService, request: sendHttp.OutgoingRequest, timeoutMs: number, lateAnswerMs = 0, signal?: AbortSignal): Promise<BufferedOutcome> {
  return new Promise((resolve) => {
    const chunks = new messageFraming.ByteList()
    let status = 0
    let isOver = false
    let lateTimer: timerService.Subscription | undefined
    const exchange = sender.send(request, {
      onHead: (head) => { status = head.status },
      onData: (chunk) => { if (!isOver) chunks.push(chunk) },
      onComplete: () => { finish({ type: 'answer', status, body: chunks.concat() }) },
      onFailed: (failure) => { finish({ type: 'failed', failure }) }
    })
    const timer = timers.after(timeoutMs, () => { pendingEvents.afterPendingEvents(onTimeout) })
    const onTimeout = (): void => {
      if (isOver) return
      if (lateAnswerMs === 0) exchange.cancel()
      finishWithoutAnswer(`no answer within ${timeoutMs} ms`)
      if (lateAnswerMs > 0) lateTimer = timers.after(lateAnswerMs, () => { exchange.cancel() })
    }
    const onAbort = (): void => { pendingEvents.afterPendingEvents(onGivenUp) }
    const onGivenUp = (): void => {
      if (isOver) return
      exchange.cancel()
      finishWithoutAnswer('given up before its time')
    }
    signal?.addEventListener('abort', onAbort, { once: true })
    const finishWithoutAnswer = (detail: string): void => {
      finish({ type: 'failed', failure: { verdict: 'mayHaveRun', cause: 'cancelled', detail, reused: false } })
    }
    const finish = (outcome: BufferedOutcome): void => {
      lateTimer?.cancel()
      isOver = true
      timer.cancel()
      signal?.removeEventListener('abort', onAbort)
      resolve(outcome)
    }
  })
}
