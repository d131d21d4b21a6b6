/** Waits for a dispatch's turn at its upstream. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as upstreamSlots from './upstream-slots.js'

/**
 * Ok when the turn has come: the caller then owns a slot and must leave it. Otherwise the dispatch has left
 * the queue without running: its time was up, or it was given up. `onStart` is called as the turn comes, before
 * anything else can.
 */
export function awaitTurn (slots: upstreamSlots.UpstreamSlots, req: types.Dispatch, signal: AbortSignal, timers: timerService.TimerService, onStart: () => void): Promise<errors.Result<void>> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(errors.fail(givenUp))
      return
    }
    const expiry = timers.after(req.timeoutMs, () => leave(timedOut(req.timeoutMs)))
    const onAbort = (): void => leave(givenUp)
    signal.addEventListener('abort', onAbort, { once: true })
    const waiting = slots.enter(req.program, req.queue, () => {
      stopWaiting()
      onStart()
      resolve(errors.ok(undefined))
    })

    function leave (failure: errors.Failure): void {
      if (!waiting.cancel()) return
      stopWaiting()
      resolve(errors.fail(failure))
    }

    function stopWaiting (): void {
      expiry.cancel()
      signal.removeEventListener('abort', onAbort)
    }
  })
}

const givenUp: errors.Failure = { tag: 'cancelled', verdict: 'notRun', message: 'given up before its turn' }

function timedOut (afterMs: number): errors.Failure {
  return { tag: 'timeout', verdict: 'notRun', message: 'its turn did not come in time', afterMs }
}
