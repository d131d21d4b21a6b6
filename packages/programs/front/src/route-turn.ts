/** Brings a turn to the owner of its program: here, or at another front process. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as types from '@eelgrasswind/types'
import * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import * as forwardTurn from './forward-turn.js'
import type * as inbound from './inbound.js'
import * as memberName from './member-name.js'
import type * as peerFailureDetector from './peer-failure-detector.js'
import * as serveTurn from './serve-turn.js'
import * as serveUnkept from './serve-unkept.js'

/** What it takes to bring turns to their owners. */
export interface RouteTurnPorts extends serveTurn.TurnPorts, forwardTurn.ForwardPorts {
  /** Peers that did not answer lately. */
  readonly suspects: SuspectedPeers
  /** Told when a peer did not answer; knows whether this process is the one that is cut off. */
  readonly failureDetector: Pick<peerFailureDetector.PeerFailureDetector, 'suspect' | 'noteReportedSilent' | 'isIsolated'>
}

/** Peers that did not answer are left alone for a while, so that only the first turn waits for them. */
export class SuspectedPeers {
  private readonly seen = new Map<string, { readonly since: number, readonly until: number }>()

  add (member: string, now: number): void {
    const known = this.seen.get(member)
    const since = known !== undefined && now - known.until < forgetMs ? known.since : now
    this.seen.set(member, { since, until: now + suspectMs })
  }

  has (member: string, now: number): boolean {
    return (this.seen.get(member)?.until ?? -Infinity) > now
  }

  /** How long the member has been silent, in ms. */
  silentMs (member: string, now: number): number {
    const known = this.seen.get(member)
    return known === undefined ? 0 : now - known.since
  }
}

/** Shorter than the time in which a client that was refused comes back. */
const suspectMs = 350
/** A member that was heard of in between begins a new silence. */
const forgetMs = 1_000

/** How long a turn waits for a shard that changes hands, in ms: a planned handover takes less; after a crash the lease takes longer. */
const patienceMs = 250
/** Pause between two looks, in ms. */
const lookMs = 20

/** Serves a turn of a client wherever its program is owned, or refuses it with the time at which it can be served. */
export async function routeTurn (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields): Promise<void> {
  const { timers, shards } = ports
  if (ports.failureDetector.isIsolated) {
    ports.decisions.note({ event: 'turnRefused', reason: 'cut off from the owners', request: req.attempt.id, program: turn.program, detail: {} })
    req.reply.refuse({ type: 'peerUnreachable', retryAfterMs: serveTurn.shardRetryMs })
    return
  }
  const partition = shards.getPartition(turn.program)
  const startedAt = timers.monotonic()
  let last: unknown
  do {
    const place = shards.locate(partition)
    const step = await tryPlace(ports, req, turn, place)
    if (step.type === 'done') return
    if (step.type === 'later') {
      last = { place: describe(place), step }
      break
    }
    last = { place: describe(place), step }
    void shards.refreshOwners()
    await timerService.sleep(timers, lookMs)
  } while (!req.reply.over && timers.monotonic() - startedAt < patienceMs)
  const retryAfterMs = comeBackMs(ports, partition)
  ports.decisions.note({ event: 'turnRefused', reason: 'nobody serves the shard', request: req.attempt.id, program: turn.program, detail: { partition, waitedMs: Math.round(timers.monotonic() - startedAt), ownersAgeMs: Math.round(shards.ownersAgeMs), last } })
  req.reply.refuse({ type: 'shardMoving', retryAfterMs })
}

/**
 * When the shard is likely to be served: a handover is nearly done, a silent owner is found out and given up within
 * half a second, and one that was not has to lose its lease first.
 */
function comeBackMs (ports: RouteTurnPorts, partition: shardLog.Partition): number {
  const place = ports.shards.locate(partition)
  if (place.type !== 'member') return serveTurn.shardRetryMs
  const silentMs = ports.suspects.silentMs(place.member, ports.timers.monotonic())
  const movedAfterMs = silentMs < foundOutMs ? foundOutMs + takeOverMs : ports.shards.leaseMs + takeOverMs
  return Math.max(serveTurn.shardRetryMs, movedAfterMs - silentMs)
}

/** From the first request that a silent owner did not take until it is given up, in ms: one question to all peers. */
const foundOutMs = 250
/** From a lapsed lease to a shard that serves, in ms: half a heartbeat, the handover, and reading the shard. */
const takeOverMs = 300

type Step =
  | { readonly type: 'done' }
  /** Nothing ran; worth another look. */
  | { readonly type: 'again', readonly reason: string }
  /** Nothing ran, and another look soon would find the same. */
  | { readonly type: 'later', readonly reason: string }

async function tryPlace (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, place: ownShards.ShardLocation): Promise<Step> {
  switch (place.type) {
    case 'unknown': return { type: 'again', reason: 'no owner known' }
    case 'here':
      if (place.shard.state !== 'serving') return { type: 'again', reason: place.shard.state }
      if (!isKept(req)) return orAgain(await tryUnkept(ports, req, turn, { type: 'here', shard: place.shard }))
      await serveTurn.serveTurn(ports, req, turn, place.shard)
      return { type: 'done' }
    case 'member': return tryMember(ports, req, turn, place.member)
  }
}

async function tryMember (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, member: string): Promise<Step> {
  const { shards, suspects, timers } = ports
  if (suspects.has(member, timers.monotonic())) {
    return { type: shards.hasRecentlyEvicted(member) ? 'again' : 'later', reason: 'the owner did not answer just now' }
  }
  const address = memberName.parsePeerAddress(member)
  const step = isKept(req) ? await passOn(ports, req, turn, member) : await tryUnkept(ports, req, turn, { type: 'peer', address })
  if (step.type !== 'silent') return step
  suspects.add(member, timers.monotonic())
  if (step.ended) void shards.evict(member, 'ended')
  else ports.failureDetector.suspect(address)
  return orAgain(step)
}

function orAgain (step: Step | Silent): Step {
  return step.type === 'silent' ? { type: 'again', reason: 'unreachable' } : step
}

/** The owner did not take the turn. Ended: its process does not run any more. */
interface Silent {
  readonly type: 'silent'
  readonly ended: boolean
}

/** A kept turn is served by the owner of its program. */
async function passOn (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, member: string): Promise<Step | Silent> {
  ports.decisions.note({ event: 'passedOn', request: req.attempt.id, program: turn.program, owner: member, ownersAgeMs: Math.round(ports.shards.ownersAgeMs) })
  const outcome = await forwardTurn.forwardTurn(ports, req, memberName.parsePeerAddress(member))
  switch (outcome.type) {
    case 'answered': return { type: 'done' }
    case 'notOwner': return { type: 'again', reason: outcome.type }
    case 'unreachable': return { type: 'silent', ended: outcome.ended }
  }
}

/** Any other turn is run here, with tokens that the owner of its program has reserved. */
async function tryUnkept (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, owner: serveUnkept.Owner): Promise<Step | Silent> {
  const call = serveUnkept.reserveCall(req, turn)
  const outcome = await serveUnkept.reserve(ports, owner, call)
  if (outcome.type === 'none') return { type: 'silent', ended: outcome.ended }
  const { answer } = outcome
  switch (answer.type) {
    case 'notOwner': return { type: 'again', reason: answer.type }
    case 'reserved':
      if (req.reply.over) serveUnkept.release(ports, owner, { ...call, type: 'release', tokens: 0 })
      else serveUnkept.run(ports, req, turn, owner, call, answer.holder)
      return { type: 'done' }
    case 'overBudget':
      req.reply.refuse({ type: 'overBudget' })
      return { type: 'done' }
    case 'later':
      req.reply.refuse({ type: answer.reason, retryAfterMs: answer.retryAfterMs })
      return { type: 'done' }
  }
}

function isKept (req: inbound.InboundRequest): boolean {
  return req.route.retain?.keepsTurns === true
}

/** The shard of a program, if this process serves it now. */
export function findServingShard (ports: Pick<RouteTurnPorts, 'shards'>, program: types.ProgramId): ownShards.OwnedShard | undefined {
  const place = ports.shards.locate(ports.shards.getPartition(program))
  return place.type === 'here' && place.shard.state === 'serving' ? place.shard : undefined
}

function describe (place: ownShards.ShardLocation): { readonly type: string, readonly state?: string, readonly member?: string, readonly partition?: shardLog.Partition } {
  switch (place.type) {
    case 'unknown': return { type: 'unknown' }
    case 'member': return { type: 'member', member: place.member }
    case 'here': return { type: 'here', state: place.shard.state }
  }
}
