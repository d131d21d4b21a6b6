/** Which engine holds the beginning of a prompt, from what this process sent where. */
import * as hashText from '@eelgrasswind/hash-text'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as dialects from './dialect.js'

/** Turns that are remembered; the oldest go first. More than an engine's memory holds at any size seen so far. */
const maxTurns = 20_000

/** Remembers where the turns of this process ran. A wrong guess costs reading the prompt again, nothing else. */
export class PromptPlaces {
  private readonly turns = new Map<turnLedger.TurnId, types.UpstreamId>()

  constructor (private readonly upstreams: trackUpstreams.UpstreamList) {}

  /** The engine of the previous turn; for a first turn the one that all owners agree on for its shared part. */
  find (service: types.ServiceId, turn: dialects.TurnFields): types.UpstreamId | undefined {
    const known = turn.previous === undefined ? undefined : this.turns.get(turn.previous)
    if (known !== undefined && this.upstreams.get(known) !== undefined) return known
    return this.agreedPlace(service, turn.promptParts[0])
  }

  note (service: types.ServiceId, turn: dialects.TurnFields, id: turnLedger.TurnId, upstream: types.UpstreamId): void {
    this.turns.set(id, upstream)
    if (this.turns.size <= maxTurns) return
    const oldest = this.turns.keys().next()
    if (!oldest.done) this.turns.delete(oldest.value)
  }

  /** Rendezvous hashing: the same engine for the same part in every process, with no messages. */
  private agreedPlace (service: types.ServiceId, part: string | undefined): types.UpstreamId | undefined {
    if (part === undefined) return undefined
    let best: types.UpstreamId | undefined
    let bestScore = -1
    for (const { listed } of this.upstreams.ofService(service)) {
      if (listed.leaving) continue
      const score = hashText.hashText(part + listed.id)
      if (score <= bestScore) continue
      best = listed.id
      bestScore = score
    }
    return best
  }
}
