/** Bounds the calls that run on one upstream at once; those waiting go in the order of the queue's rule. */
import * as orderQueue from '@eelgrasswind/order-queue'
import type * as types from '@eelgrasswind/types'

export interface Waiting {
  /** Leaves the queue; false when its turn has come. */
  cancel: () => boolean
}

export interface UpstreamSlots {
  readonly running: number
  readonly waiting: number
  /** Calls start when it is the call's turn, at once where a slot is free. */
  enter: (program: types.ProgramId, input: types.QueueInput, start: () => void) => Waiting
  /** A call that had started has ended. */
  leave: () => void
  resize: (slots: number) => void
  /** Orders those that wait by another rule. */
  setRule: (rule: orderQueue.OrderRule) => void
}

export function createUpstreamSlots (slots: number, rule: orderQueue.OrderRule, now: () => number): UpstreamSlots {
  let queue = orderQueue.createOrderQueue<() => void>(rule)
  let limit = slots
  let running = 0

  function startNext (): void {
    while (running < limit) {
      const taken = queue.pop(now())
      if (taken === undefined) return
      running += 1
      taken.item.value()
    }
  }

  function enter (program: types.ProgramId, input: types.QueueInput, start: () => void): Waiting {
    if (running < limit && queue.size === 0) {
      running += 1
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

  function leave (): void {
    running -= 1
    startNext()
  }

  function resize (next: number): void {
    limit = next
    startNext()
  }

  function setRule (next: orderQueue.OrderRule): void {
    const waiting = [...queue.items()]
    queue = orderQueue.createOrderQueue<() => void>(next)
    for (const item of waiting) queue.push(item)
  }

  return {
    get running () { return running },
    get waiting () { return queue.size },
    enter,
    leave,
    resize,
    setRule
  }
}
