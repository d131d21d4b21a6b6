/** Handling of turns during an outage of the store. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'

/** The store counts as unresponsive if an append has gone unanswered for this long, in ms; a slow append takes about 300 ms. */
const stalledAppendMs = 600

/**
 * Retry-after during a store outage, in ms. A store that has left an append unanswered for `stalledAppendMs` is usually
 * unavailable for seconds. With a retry-after of 1 s the six attempts of a client outlast an outage of 3.5 s; with 0.4 s
 * only 1.7 s.
 */
export const outageRetryMs = 1_000

/** A deferred turn that is not retried within this time, in ms, is not expected any more: clients wait for at most a third of their timeout, and the longest timeout seen is 4 s. */
const retryWindowMs = 3_000
/** Maximum number of remembered turns; the oldest are evicted first. */
const maxDeferredTurns = 10_000

/**
 * Defers retained turns during a store outage, including the first turns of programs. A turn can run without the store,
 * but its end is held back until the turn is stored, and all of its output if no stored reservation covers its tokens;
 * clients abandon a stream 2 s after its last event. So a turn is first refused with a retry-after and runs when it is
 * retried. Each of a client's three tries then outlasts 1 s plus 2 s, and together they outlast an outage of 9 s, against
 * 3.5 s if each is refused. Programs that start within an outage of 7 s are delayed instead of refused: 0.073 of all
 * programs of a day with one such outage. Running turns at once would outlast 7 s, and cost an engine run for each
 * try at the start of the outage.
 */
export class DeferredTurns {
  private readonly deferredAt = new boundedMap.BoundedMap<string, number>(maxDeferredTurns)

  /** Returns whether the turn may run at `now`, monotonic ms; otherwise it counts as deferred and has to be refused with a retry-after. */
  shouldRunNow (program: types.ProgramId, previous: turnLedger.TurnId | undefined, now: number): boolean {
    const key = `${program} ${previous ?? ''}`
    const lastDeferredAt = this.deferredAt.get(key)
    this.deferredAt.delete(key)
    if (lastDeferredAt !== undefined && now - lastDeferredAt < retryWindowMs) return true
    this.deferredAt.set(key, now)
    return false
  }
}

/** Share of the memory of a process that writes without an answer of the store may take; what the ledger keeps of them lasts longer. */
const unstoredShare = 1 / 16
/** Memory of a process that was not told it, in MB. */
const defaultMemoryMb = 256
const bytesPerMb = 1_000_000

/** Memory that writes without an answer of the store may take, in bytes: beyond it an owner runs no further turns that would add to them. `memoryMb`: memory of the process, in MB; `undefined` if it is not known. */
export function computeMaxUnstoredBytes (memoryMb: number | undefined): number {
  return Math.floor((memoryMb ?? defaultMemoryMb) * bytesPerMb * unstoredShare)
}

/** Dependencies for bounding the writes without an answer of the store. */
export interface UnstoredPorts {
  readonly shards: Pick<ownShards.ShardOwner, 'unstoredBytes'>
  /** In bytes. */
  readonly maxUnstoredBytes: number
}

/** Whether the store has left so many writes unanswered that no turn may add to them. */
export function isBacklogFull ({ shards, maxUnstoredBytes }: UnstoredPorts, shard: ownShards.OwnedShard): boolean {
  return isStoreUnresponsive(shard) && shards.unstoredBytes >= maxUnstoredBytes
}

/** Whether the store has stopped answering the shard's appends. */
export function isStoreUnresponsive (shard: ownShards.OwnedShard): boolean {
  return shard.unansweredMs > stalledAppendMs
}
