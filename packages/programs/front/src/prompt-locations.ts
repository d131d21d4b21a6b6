/** Which engine holds the beginning of a prompt, from what this process sent where. */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** Turns and parts of prompts that are remembered; the oldest go first. More than an engine's memory holds at any size seen so far. */
const maxPlaces = 20_000

/** Remembers where the turns of this process ran. A wrong guess costs reading the prompt again, nothing else. */
export class PromptLocations {
  private readonly places = new boundedMap.BoundedMap<string, types.UpstreamId>(maxPlaces)

  /** What of the turn's prompt may lie where. */
  find (turn: Pick<dialects.TurnFields, 'promptParts' | 'previous'>): trackUpstreams.PromptAffinity {
    const [sharedPart, ...ownParts] = turn.promptParts
    if (turn.previous !== undefined) return { holder: this.places.get(turn.previous), sharedPrefix: sharedPart }
    const known = ownParts.findLast((part) => this.places.has(part))
    return { holder: known === undefined ? undefined : this.places.get(known), sharedPrefix: sharedPart }
  }

  /** A turn runs at an upstream: later ones continue from it by its id, or repeat its prompt in full. */
  note (id: turnLedger.TurnId, turn: Pick<dialects.TurnFields, 'promptParts'>, upstream: types.UpstreamId): void {
    this.places.set(id, upstream)
    const lastPart = turn.promptParts.at(-1)
    if (lastPart !== undefined && turn.promptParts.length > 1) this.places.set(lastPart, upstream)
  }
}
