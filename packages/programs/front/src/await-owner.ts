/** Waits in a process that does not serve a shard until the shard's next owner is known. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of `awaitKnownOwner`. */
export interface AwaitOwnerPorts {
  readonly shards: Pick<ownShards.ShardOwner, 'locate' | 'refreshOwners' | 'leaseMs'>
  readonly timers: timerService.TimerService
}

/** Poll interval for the next owner, in ms. */
const pollIntervalMs = 20

/**
 * Returns the shard if this process comes to serve it, and `undefined` once another process owns it, or nobody has for a
 * lease: then the caller looks for its owner itself.
 */
export async function awaitKnownOwner ({ shards, timers }: AwaitOwnerPorts, partition: shardLog.Partition): Promise<ownShards.OwnedShard | undefined> {
  const startedAt = timers.monotonic()
  while (timers.monotonic() - startedAt < shards.leaseMs) {
    const location = shards.locate(partition)
    if (location.type === 'member') return undefined
    if (location.type === 'here' && location.shard.state === 'serving') return location.shard
    void shards.refreshOwners()
    const next = timerService.sleep(timers, pollIntervalMs)
    await (location.type === 'here' && location.shard.state === 'opening' ? Promise.race([location.shard.opened, next]) : next)
  }
  return undefined
}
