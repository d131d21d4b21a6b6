/** One upstream of this host: its client, its slots and its holds. */
import type * as engineClient from '@eelgrasswind/engine-client'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as serviceClient from '@eelgrasswind/service-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as prefixHolds from './prefix-holds.js'
import * as upstreamSlots from './upstream-slots.js'

/** An upstream beside this process and its client. */
export type GuardedUpstream =
  | { readonly type: 'engine', readonly upstream: types.UpstreamId, readonly slots: number, readonly client: engineClient.EngineClient }
  | { readonly type: 'service', readonly upstream: types.UpstreamId, readonly slots: number, readonly client: serviceClient.ServiceClient }

export interface Door {
  readonly target: GuardedUpstream
  readonly slots: upstreamSlots.UpstreamSlots
  readonly holds: prefixHolds.PrefixHolds | null
  /** What the engine last said of itself; late. */
  reported: types.UpstreamLoad | null
}

export function openDoor (target: GuardedUpstream, rule: orderQueue.OrderRule, timers: timerService.TimerService, onSwept: (upstream: types.UpstreamId, released: number) => void): Door {
  const holds = target.type === 'engine'
    ? prefixHolds.createPrefixHolds({ engine: target.client, timers, onSwept: (released) => onSwept(target.upstream, released) })
    : null
  return { target, slots: upstreamSlots.createUpstreamSlots(target.slots, rule, timers.now), holds, reported: null }
}

export async function askLoad (door: Door): Promise<void> {
  if (door.target.type !== 'engine') return
  const load = await door.target.client.getLoad()
  if (load.ok) door.reported = load.value
}

/** Own counts are exact and new; the cache is as the engine last reported it. */
export function loadOf (door: Door, now: number): types.UpstreamLoad {
  return {
    upstream: door.target.upstream,
    running: door.slots.running,
    waiting: door.slots.waiting,
    cacheTokens: door.reported?.cacheTokens ?? 0,
    cacheCapacity: door.reported?.cacheCapacity ?? 0,
    at: now as types.EpochMs
  }
}

export function statusOf (door: Door): types.UpstreamStatus {
  return {
    upstream: door.target.upstream,
    type: door.target.type,
    running: door.slots.running,
    waiting: door.slots.waiting,
    holds: door.holds?.size ?? 0
  }
}
