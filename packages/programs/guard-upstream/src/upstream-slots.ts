/** Limits the calls that run on one upstream concurrently; further calls wait in a queue with an order rule. */
import * as orderQueue from '@eelgrasswind/order-queue'
import type * as types from '@eelgrasswind/types'

/** A call in the queue. */
export interface QueueEntry {
  /** Removes the call from the queue; returns false if it has started already. */
  cancel: () => boolean
}

/** Slots and queue of one upstream. */
export interface UpstreamSlots {
  readonly running: number
  readonly waiting: number
  /** Calls `start` when the call gets a slot: at once if one is free, else from the queue. */
  acquire: (program: types.ProgramId, input: types.QueueInput, start: () => void) => QueueEntry
  /** Frees the slot of a call that has ended. */
  release: () => void
  /** Changes the number of slots; running calls are not affected. */
  resize: (slots: number) => void
  /** Orders the queued calls by another rule. */
  setRule: (rule: orderQueue.OrderRule) => void
}

/** Creates slots with an empty queue; `now` is wall-clock time in milliseconds. */
export function createUpstreamSlots (slots: number, rule: orderQueue.OrderRule, now: () => number): UpstreamSlots {
  let queue = orderQueue.createOrderQueue<() => void>(rule)
  let maxRunning = slots
  let runningCount = 0

  function startNext (): void {
    while (runningCount < maxRunning) {
      const next = queue.pop(now())
      if (next === undefined) return
      runningCount += 1
      next.item.value()
    }
  }

  function acquire (program: types.ProgramId, input: types.QueueInput, start: () => void): QueueEntry {
    if (runningCount < maxRunning && queue.size === 0) {
      runningCount += 1
      start()
      return { cancel: () => false }
    }
    const item: orderQueue.WaitingItem<() => void> = {
      program,
      kind: input.kind,
      enqueuedAt: now(),
      deadline: input.deadline,
      weight: input.weight,
      attainedTokens: input.attainedTokens,
      expectedRemainingMs: input.expectedRemainingMs,
      value: start
    }
    queue.push(item)
    return { cancel: () => queue.remove(item) }
  }

  function release (): void {
    runningCount -= 1
    startNext()
  }

  function resize (newSlots: number): void {
    maxRunning = newSlots
    startNext()
  }

  function setRule (newRule: orderQueue.OrderRule): void {
    const queuedItems = [...queue.items()]
    queue = orderQueue.createOrderQueue<() => void>(newRule)
    for (const item of queuedItems) queue.push(item)
  }

  return {
    get running () { return runningCount },
    get waiting () { return queue.size },
    acquire,
    release,
    resize,
    setRule
  }
}
