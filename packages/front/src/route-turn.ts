/** Brings a turn to the owner of its program: here, or at another front process. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as types from '@eelgrasswind/types'
import * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import * as forwardTurn from './forward-turn.js'
import type * as inbound from './inbound.js'
import * as memberName from './member-name.js'
import * as serveTurn from './serve-turn.js'

export interface RouteTurnPorts extends serveTurn.TurnPorts {
  /** Peers that did not answer lately. */
  readonly suspects: Suspects
}

/** Peers that did not answer are left alone for a while, so that only the first turn waits for them. */
export class Suspects {
  private readonly until = new Map<string, number>()

  add (member: string, now: number): void {
    this.until.set(member, now + suspectMs)
  }

  has (member: string, now: number): boolean {
    return (this.until.get(member) ?? -Infinity) > now
  }
}

/** Shorter than the time in which a client that was refused comes back. */
const suspectMs = 350

/** How long a turn waits for a shard that changes hands, in ms: a planned handover takes less; after a crash the lease takes longer. */
const patienceMs = 250
/** Pause between two looks, in ms. */
const lookMs = 20

export async function routeTurn (ports: RouteTurnPorts, req: inbound.Inbound, turn: dialects.TurnFields): Promise<void> {
  const { timers, shards } = ports
  const partition = shards.partitionOf(turn.program)
  const startedAt = timers.monotonic()
  let last: unknown
  do {
    const place = shards.locate(partition)
    const step = await tryPlace(ports, req, turn, place)
    if (step.type === 'done') return
    last = { place: describe(place), step }
    void shards.refreshOwners()
    await timerService.sleep(timers, lookMs)
  } while (!req.reply.over && timers.monotonic() - startedAt < patienceMs)
  ports.decisions.note({ event: 'turnRefused', reason: 'nobody serves the shard', request: req.attempt.id, program: turn.program, detail: { partition, waitedMs: Math.round(timers.monotonic() - startedAt), ownersAgeMs: Math.round(shards.ownersAgeMs), last } })
  req.reply.refuse({ type: 'shardMoving', retryAfterMs: serveTurn.shardRetryMs })
}

type Step =
  | { readonly type: 'done' }
  /** Nothing ran; worth another look. */
  | { readonly type: 'again', readonly reason: string }

async function tryPlace (ports: RouteTurnPorts, req: inbound.Inbound, turn: dialects.TurnFields, place: ownShards.Location): Promise<Step> {
  switch (place.type) {
    case 'unknown': return { type: 'again', reason: 'no owner known' }
    case 'here':
      if (place.shard.state !== 'serving') return { type: 'again', reason: place.shard.state }
      await serveTurn.serveTurn(ports, req, turn, place.shard)
      return { type: 'done' }
    case 'member': {
      if (ports.suspects.has(place.member, ports.timers.monotonic())) return { type: 'again', reason: 'the owner did not answer just now' }
      ports.decisions.note({ event: 'passedOn', request: req.attempt.id, program: turn.program, owner: place.member, ownersAgeMs: Math.round(ports.shards.ownersAgeMs) })
      const address = memberName.addressOf(place.member)
      const outcome = await forwardTurn.forwardTurn(ports, req, address)
      if (outcome.type === 'answered') return { type: 'done' }
      if (outcome.type === 'unreachable') ports.suspects.add(place.member, ports.timers.monotonic())
      return { type: 'again', reason: outcome.type }
    }
  }
}

/** The shard of a program, if this process serves it now. */
export function servingShard (ports: Pick<RouteTurnPorts, 'shards'>, program: types.ProgramId): ownShards.OwnedShard | undefined {
  const place = ports.shards.locate(ports.shards.partitionOf(program))
  return place.type === 'here' && place.shard.state === 'serving' ? place.shard : undefined
}

function describe (place: ownShards.Location): { readonly type: string, readonly state?: string, readonly member?: string, readonly partition?: shardLog.Partition } {
  switch (place.type) {
    case 'unknown': return { type: 'unknown' }
    case 'member': return { type: 'member', member: place.member }
    case 'here': return { type: 'here', state: place.shard.state }
  }
}

export { serveTurn as serveHere } from './serve-turn.js'
