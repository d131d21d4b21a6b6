/** A priority queue of waiting calls, ordered by a rule. Every operation takes logarithmic time. */
import * as errors from '@eelgrasswind/errors'
import * as heaps from './heap.js'
import * as orderRule from './order-rule.js'

/** A waiting call with a value of the queue's user. */
export interface WaitingItem<T> extends orderRule.WaitingCall {
  readonly value: T
}

/** A call taken from the queue, and why it was selected. */
export interface TakenItem<T> {
  readonly item: WaitingItem<T>
  readonly reason: orderRule.OrderReason
}

/** A queue of waiting calls. Times are in milliseconds. */
export interface OrderQueue<T> {
  readonly rule: orderRule.OrderRule
  readonly size: number
  /** Adds a call; the same object must not be in the queue already. */
  push: (item: WaitingItem<T>) => void
  /** Removes and returns the next call; undefined if none waits. */
  pop: (now: number) => TakenItem<T> | undefined
  /** Removes a call that was pushed; false when it is no longer there. */
  remove: (item: WaitingItem<T>) => boolean
  /** The waiting calls, in no particular order. */
  items: () => Iterable<WaitingItem<T>>
}

/** The heap entries of one item: by rule and by age. */
interface QueueEntry<T> {
  byRule: heaps.HeapEntry<WaitingItem<T>>
  readonly byAge: heaps.HeapEntry<WaitingItem<T>>
}

/** Number of dropped entries that a heap may always keep before it is compacted. */
const maxDroppedEntries = 64

/** Creates an empty queue. `push` throws if the item is already in it. */
export function createOrderQueue<T> (rule: orderRule.OrderRule): OrderQueue<T> {
  const entries = new Map<WaitingItem<T>, QueueEntry<T>>()
  const inTime = new heaps.Heap<WaitingItem<T>>()
  const late = new heaps.Heap<WaitingItem<T>>()
  const byAge = new heaps.Heap<WaitingItem<T>>()
  let order = 0

  function createHeapEntry (key: number, item: WaitingItem<T>): heaps.HeapEntry<WaitingItem<T>> {
    order += 1
    return { key, order, item, isDropped: false }
  }

  function push (item: WaitingItem<T>): void {
    if (entries.has(item)) throw new Error('the item is already in the queue')
    const queueEntry = { byRule: createHeapEntry(computeKey(rule, item), item), byAge: createHeapEntry(item.enqueuedAt, item) }
    entries.set(item, queueEntry)
    inTime.push(queueEntry.byRule)
    byAge.push(queueEntry.byAge)
  }

  function remove (item: WaitingItem<T>): boolean {
    const queueEntry = entries.get(item)
    if (queueEntry === undefined) return false
    entries.delete(item)
    queueEntry.byRule.isDropped = true
    queueEntry.byAge.isDropped = true
    for (const heap of [inTime, late, byAge]) {
      if (heap.length > 2 * entries.size + maxDroppedEntries) heap.compact()
    }
    return true
  }

  function pop (now: number): TakenItem<T> | undefined {
    const taken = peekStarving(now) ?? peekByRule(now)
    if (taken !== undefined) remove(taken.item)
    return taken
  }

  function peekStarving (now: number): TakenItem<T> | undefined {
    if (rule.type === 'fifo') return undefined
    const item = byAge.peek()?.item
    if (item === undefined) return undefined
    const waitedMs = now - item.enqueuedAt
    if (waitedMs < rule.starvationMs) return undefined
    return { item, reason: { type: 'starving', waitedMs, boundMs: rule.starvationMs } }
  }

  function peekByRule (now: number): TakenItem<T> | undefined {
    if (rule.type === 'weightedSlack' && rule.lateLast) moveLateCalls(now)
    const item = inTime.peek()?.item ?? late.peek()?.item
    if (item === undefined) return undefined
    return { item, reason: describeReason(rule, item, now) }
  }

  /** Moves calls of programs that can no longer finish in time to the heap of late calls, which come after all others. */
  function moveLateCalls (now: number): void {
    for (let entry = inTime.peek(); entry !== undefined; entry = inTime.peek()) {
      if (orderRule.computeSlackMs(entry.item, now) >= 0) return
      const item = entry.item
      entry.isDropped = true
      const lateEntry = createHeapEntry(computeLateKey(item), item)
      entries.get(item)!.byRule = lateEntry
      late.push(lateEntry)
    }
  }

  return {
    rule,
    get size () { return entries.size },
    push,
    pop,
    remove,
    items: () => entries.keys()
  }
}

/** Sort key of calls in time; the smallest comes first. */
function computeKey (rule: orderRule.OrderRule, call: orderRule.WaitingCall): number {
  switch (rule.type) {
    case 'fifo': return call.enqueuedAt
    case 'earliestDeadline': return call.deadline
    case 'leastAttained': return call.attainedTokens
    case 'weightedSlack': return call.deadline - call.expectedRemainingMs - rule.weightMs * Math.log2(call.weight)
    default: return errors.assertNever(rule)
  }
}

/** Sort key of calls of late programs: the shortest remaining time relative to the weight comes first. */
function computeLateKey (call: orderRule.WaitingCall): number {
  return call.expectedRemainingMs / call.weight
}

function describeReason (rule: orderRule.OrderRule, call: orderRule.WaitingCall, now: number): orderRule.OrderReason {
  switch (rule.type) {
    case 'fifo': return { type: 'oldest', waitedMs: now - call.enqueuedAt }
    case 'earliestDeadline': return { type: 'earliestDeadline', leftMs: call.deadline - now }
    case 'leastAttained': return { type: 'leastAttained', attainedTokens: call.attainedTokens }
    case 'weightedSlack': {
      const slackMs = orderRule.computeSlackMs(call, now)
      return { type: rule.lateLast && slackMs < 0 ? 'late' : 'leastSlack', slackMs, weight: call.weight }
    }
    default: return errors.assertNever(rule)
  }
}
