/** Tracks which engine probably has the prefix of a prompt cached, from the turns that this process sent. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** Maximum number of remembered turns and prompt parts; the oldest are evicted first. More than an engine's cache holds at any known size. */
const maxEntries = 20_000

/** Remembers where the turns of this process ran. A wrong guess only costs a cache miss: the engine processes the whole prompt again. */
export class PromptLocations {
  private readonly upstreamByKey = new boundedMap.BoundedMap<string, types.UpstreamId>(maxEntries)

  /** Returns the upstream that may have a prefix of the turn's prompt cached, and the prefix that programs share. */
  findAffinity (turn: Pick<dialects.TurnFields, 'promptParts' | 'previous'>): trackUpstreams.PromptAffinity {
    const [sharedPrefix, ...laterParts] = turn.promptParts
    if (turn.previous !== undefined) return { holder: this.upstreamByKey.get(turn.previous), sharedPrefix }
    const lastKnownPart = laterParts.findLast((part) => this.upstreamByKey.has(part))
    return { holder: lastKnownPart === undefined ? undefined : this.upstreamByKey.get(lastKnownPart), sharedPrefix }
  }

  /** Records the upstream of a turn. Later turns refer to it by its id, or repeat its whole prompt. */
  recordLocation (id: turnLedger.TurnId, turn: Pick<dialects.TurnFields, 'promptParts'>, upstream: types.UpstreamId): void {
    this.upstreamByKey.set(id, upstream)
    const lastPart = turn.promptParts.at(-1)
    if (lastPart !== undefined && turn.promptParts.length > 1) this.upstreamByKey.set(lastPart, upstream)
  }
}
