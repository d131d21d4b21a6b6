/** Which engine holds the beginning of a prompt, from what this process sent where. */
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** Turns that are remembered; the oldest go first. More than an engine's memory holds at any size seen so far. */
const maxTurns = 20_000

/** Remembers where the turns of this process ran. A wrong guess costs reading the prompt again, nothing else. */
export class PromptPlaces {
  private readonly turns = new Map<turnLedger.TurnId, types.UpstreamId>()

  /** What of the turn's prompt may lie where. */
  find (turn: dialects.TurnFields): trackUpstreams.PromptAffinity {
    return {
      holder: turn.previous === undefined ? undefined : this.turns.get(turn.previous),
      sharedPart: turn.promptParts[0]
    }
  }

  note (id: turnLedger.TurnId, upstream: types.UpstreamId): void {
    this.turns.set(id, upstream)
    if (this.turns.size <= maxTurns) return
    const oldest = this.turns.keys().next()
    if (!oldest.done) this.turns.delete(oldest.value)
  }
}
