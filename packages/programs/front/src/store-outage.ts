/** How turns fare while the store is away. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'

/** An append that is this long without an answer, in ms, says that the store is away: a slow one takes about 300. */
const stalledMs = 600

/**
 * When to come back while the store is away, in ms: a store that has left an append unanswered for `stalledMs` is away
 * for seconds. Clients that come back after a second outlast an outage of 3.5 s with their six tries, against 1.7 s at 0.4 s.
 */
export const retryMs = 1_000

/** A turn that was told to come back and has not for this long, in ms, won't: clients wait a third of the time they have, 4 s at the most seen. */
const comeBackMs = 3_000
/** Turns that are remembered; the oldest go first. */
const mostTurns = 10_000

/**
 * Kept turns in an outage of the store, the first ones of programs too. A turn can run, but its end has to wait until the
 * turn is stored, and all of it where no record counts its tokens yet; clients give a stream up 2 s after its last event. So a turn is first told to come back, and is run when it does: each of a
 * client's three tries then outlasts 1 s and 2 s more, and the three together outages of 9 s, against 3.5 s if it is
 * refused each time: programs that begin within an outage of 7 s are late instead of refused, 0.073 of all that came on
 * a day with one such outage. To run it at once would outlast 7 s, and cost engines a run for each of the tries at the start.
 */
export class DeferredTurns {
  private readonly toldAt = new boundedMap.BoundedMap<string, number>(mostTurns)

  /** Whether the turn may run now, monotonic ms; if not, it has to be told to come back. */
  mayRun (program: types.ProgramId, previous: turnLedger.TurnId | undefined, now: number): boolean {
    const key = `${program} ${previous ?? ''}`
    const told = this.toldAt.get(key)
    this.toldAt.delete(key)
    if (told !== undefined && now - told < comeBackMs) return true
    this.toldAt.set(key, now)
    return false
  }
}

/** Whether the store leaves the shard's appends unanswered. */
export function isAway (shard: ownShards.OwnedShard): boolean {
  return shard.unansweredMs > stalledMs
}
