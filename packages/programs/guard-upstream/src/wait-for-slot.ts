/** Waits until a dispatch gets a slot of its upstream. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as upstreamSlots from './upstream-slots.js'

/**
 * Resolves with ok once the dispatch has a slot, which the caller must release. Otherwise the dispatch has left the
 * queue without running: it timed out or was cancelled. `onStart` is called synchronously when the slot is assigned,
 * before any other code runs.
 */
export function waitForSlot (slots: upstreamSlots.UpstreamSlots, req: types.Dispatch, signal: AbortSignal, timers: timerService.TimerService, onStart: () => void): Promise<errors.Result<void>> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(errors.fail(cancelledFailure))
      return
    }
    const timeout = timers.after(req.timeoutMs, () => leaveQueue(createTimeoutFailure(req.timeoutMs)))
    const onAbort = (): void => leaveQueue(cancelledFailure)
    signal.addEventListener('abort', onAbort, { once: true })
    const queueEntry = slots.acquire(req.program, req.queue, () => {
      removeListeners()
      onStart()
      resolve(errors.ok(undefined))
    })

    function leaveQueue (failure: errors.Failure): void {
      if (!queueEntry.cancel()) return
      removeListeners()
      resolve(errors.fail(failure))
    }

    function removeListeners (): void {
      timeout.cancel()
      signal.removeEventListener('abort', onAbort)
    }
  })
}

const cancelledFailure: errors.Failure = { tag: 'cancelled', verdict: 'notRun', message: 'cancelled while queued' }

function createTimeoutFailure (afterMs: number): errors.Failure {
  return { tag: 'timeout', verdict: 'notRun', message: 'timed out while queued', afterMs }
}
