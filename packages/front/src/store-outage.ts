/** How turns fare while the store is away. */
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'

/** An append that is this long without an answer, in ms, says that the store is away: a slow one takes about 300. */
const stalledMs = 600

/**
 * When to come back while the store is away, in ms: a store that has left an append unanswered for `stalledMs` is away
 * for seconds. Clients that come back after a second outlast an outage of 3.5 s with their six tries, against 1.7 s at 0.4 s.
 */
export const retryMs = 1_000

/** Whether the store leaves the shard's appends unanswered. */
export function isAway (shard: ownShards.OwnedShard): boolean {
  return shard.unansweredMs > stalledMs
}

/** The result, or `undefined` where it takes longer than the time given, in ms. */
export function within<T> (timers: timerService.TimerService, result: Promise<T>, limitMs: number): Promise<T | undefined> {
  return Promise.race([result, timerService.sleep(timers, limitMs).then(() => undefined)])
}
