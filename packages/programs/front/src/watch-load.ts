/** Records when this process has hardly any processor time or memory left, and with how much work. */
import { performance } from 'node:perf_hooks'
import * as v8 from 'node:v8'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import * as heapUse from './heap-use.js'

/** Dependencies of `watchLoad`. */
export interface WatchLoadPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Requests in flight and shards that this process serves. */
  readonly countWork: () => { readonly underWay: number, readonly shards: number }
  readonly readHeap: () => heapUse.HeapUse
}

/** Period over which the load is measured, in ms. */
const periodMs = 1_000
/** Share of a period from which on the event loop counts as busy; a process whose host is throttled seems busy while it waits. */
const minBusyShare = 0.8
const bytesPerMb = 1_048_576
/** V8 adds the largest young generation, three semi-spaces, to its heap limit; the old generation must fit in the rest. */
const youngGenerationBytes = 3 * 16 * bytesPerMb
/** The names of the spaces of the young generation begin with it. */
const youngSpacePrefix = 'new_'

/** Reads the heap use of this process. */
export function readHeap (): heapUse.HeapUse {
  const oldSpaces = v8.getHeapSpaceStatistics().filter(({ space_name: name }) => !name.startsWith(youngSpacePrefix))
  const usedBytes = oldSpaces.reduce((sum, { space_used_size: used }) => sum + used, 0)
  return { usedBytes, limitBytes: v8.getHeapStatistics().heap_size_limit - youngGenerationBytes }
}

/** Looks at the load until the subscription is cancelled. */
export function watchLoad ({ timers, decisions, countWork, readHeap }: WatchLoadPorts): timerService.Subscription {
  let last = performance.eventLoopUtilization()
  let isHeapNearLimit = false

  function lookAtHeap (): void {
    const use = readHeap()
    const wasNear = isHeapNearLimit
    isHeapNearLimit = heapUse.isNearLimit(wasNear, use)
    if (isHeapNearLimit && !wasNear) decisions.record({ event: 'heapNearLimit', usedMb: toMb(use.usedBytes), limitMb: toMb(use.limitBytes), ...countWork() })
  }

  return timers.every(periodMs, () => {
    lookAtHeap()
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, last)
    last = current
    if (utilization >= minBusyShare) decisions.record({ event: 'busy', busyShare: Math.round(utilization * 100) / 100, ...countWork() })
  })
}

function toMb (bytes: number): number {
  return Math.round(bytes / bytesPerMb)
}
