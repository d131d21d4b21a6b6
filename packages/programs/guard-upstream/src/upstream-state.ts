/** State of one upstream of this host: its client, its slots and its prefix holds. */
import type * as engineClient from '@eelgrasswind/engine-client'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as serviceClient from '@eelgrasswind/service-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as prefixHolds from './prefix-holds.js'
import * as upstreamSlots from './upstream-slots.js'

interface GuardedFields {
  readonly upstream: types.UpstreamId
  /** As `http://ip:port`. */
  readonly address: string
  readonly slots: number
}

/** An upstream of this host, with its client. */
export type GuardedUpstream =
  | GuardedFields & { readonly type: 'engine', readonly client: engineClient.EngineClient }
  | GuardedFields & { readonly type: 'service', readonly client: serviceClient.ServiceClient }

/** State of an upstream; `holds` is null for a service. */
export interface UpstreamState {
  readonly target: GuardedUpstream
  readonly slots: upstreamSlots.UpstreamSlots
  readonly holds: prefixHolds.PrefixHolds | null
  /** Load as last reported by the engine; it may be out of date. */
  lastReportedLoad: types.UpstreamLoad | null
}

/** Creates the state of an upstream. `onSwept` gets the number of sessions that a sweep released. */
export function createUpstreamState (target: GuardedUpstream, rule: orderQueue.OrderRule, timers: timerService.TimerService, onSwept: (upstream: types.UpstreamId, released: number) => void): UpstreamState {
  const holds = target.type === 'engine'
    ? prefixHolds.createPrefixHolds({ engine: target.client, timers, onSwept: (released) => onSwept(target.upstream, released) })
    : null
  return { target, slots: upstreamSlots.createUpstreamSlots(target.slots, rule, timers.now), holds, lastReportedLoad: null }
}

/** Reads the load of an engine; a failed read keeps the last one. */
export async function refreshLoad (state: UpstreamState): Promise<void> {
  if (state.target.type !== 'engine') return
  const load = await state.target.client.getLoad()
  if (load.ok) state.lastReportedLoad = load.value
}

/** Returns the load of an upstream. The counts of calls are those of this process and current; the cache is as last reported by the engine. */
export function toUpstreamLoad (state: UpstreamState, now: number): types.UpstreamLoad {
  return {
    upstream: state.target.upstream,
    running: state.slots.running,
    waiting: state.slots.waiting,
    cacheTokens: state.lastReportedLoad?.cacheTokens ?? 0,
    cacheCapacity: state.lastReportedLoad?.cacheCapacity ?? 0,
    at: now as types.EpochMs
  }
}

/** Converts the state to the status that operators see. */
export function toUpstreamStatus (state: UpstreamState): types.UpstreamStatus {
  return {
    upstream: state.target.upstream,
    type: state.target.type,
    running: state.slots.running,
    waiting: state.slots.waiting,
    holds: state.holds?.size ?? 0
  }
}
