/** Records when this process has hardly any processor time left, and with how much work. */
import { performance } from 'node:perf_hooks'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `watchLoad`. */
export interface WatchLoadPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Requests in flight and shards that this process serves. */
  readonly countWork: () => { readonly underWay: number, readonly shards: number }
}

/** Period over which the load is measured, in ms. */
const periodMs = 1_000
/** Share of a period from which on the event loop counts as busy; a process whose host is throttled seems busy while it waits. */
const minBusyShare = 0.8

/** Looks at the load until the subscription is cancelled. */
export function watchLoad ({ timers, decisions, countWork }: WatchLoadPorts): timerService.Subscription {
  let last = performance.eventLoopUtilization()
  return timers.every(periodMs, () => {
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, last)
    last = current
    if (utilization >= minBusyShare) decisions.record({ event: 'busy', busyShare: Math.round(utilization * 100) / 100, ...countWork() })
  })
}
