/** Routes a turn to the owner of its program: this process or another front process. */
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as types from '@eelgrasswind/types'
import * as timerService from '@eelgrasswind/timer-service'
import type * as dialects from './dialect.js'
import * as forwardTurn from './forward-turn.js'
import type * as lateOwner from './late-owner.js'
import type * as inbound from './inbound.js'
import * as memberName from './member-name.js'
import type * as peerFailureDetector from './peer-failure-detector.js'
import type * as peerProbe from './peer-probe.js'
import * as serveTurn from './serve-turn.js'
import * as serveUnretained from './serve-unretained.js'

/** Dependencies for routing turns. */
export interface RouteTurnPorts extends serveTurn.TurnPorts, forwardTurn.ForwardPorts {
  readonly peerProbe: Pick<peerProbe.PeerProbe, 'isReachable' | 'hasFallenSilent'>
  /** Peers that recently failed to answer. */
  readonly suspects: SuspectedPeers
  /** Checks suspected peers, and detects whether this process itself is partitioned from its peers. */
  readonly failureDetector: Pick<peerFailureDetector.PeerFailureDetector, 'suspect' | 'noteReportedSilent' | 'isIsolated'>
}

/** Peers that recently failed to answer. Turns are not forwarded to them for a while, so that only the first turn waits for the timeout. */
export class SuspectedPeers {
  private readonly suspicions = new Map<string, { readonly since: number, readonly until: number }>()

  /** Suspects a member from now on; now: monotonic ms. */
  add (member: string, now: number): void {
    const suspicion = this.suspicions.get(member)
    const since = suspicion !== undefined && now - suspicion.until < suspicionMemoryMs ? suspicion.since : now
    this.suspicions.set(member, { since, until: now + suspicionMs })
  }

  /** Whether the member is suspected; now: monotonic ms. */
  has (member: string, now: number): boolean {
    return (this.suspicions.get(member)?.until ?? -Infinity) > now
  }

  /** Time since the member was first suspected, in ms; 0 if it never was. */
  getSilentMs (member: string, now: number): number {
    const suspicion = this.suspicions.get(member)
    return suspicion === undefined ? 0 : now - suspicion.since
  }
}

/** How long a peer stays suspected, in ms: less than the time until a refused client retries. */
const suspicionMs = 350
/** A member that is suspected again at least this long after its last suspicion ended, in ms, counts as newly suspected: it answered in between. */
const suspicionMemoryMs = 1_000

/** Poll interval for the new owner of a shard, in ms. */
const pollIntervalMs = 20

/** Serves a client's turn at the owner of its program, or refuses it with a retry-after for when the shard should be served again. */
export async function routeTurn (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields): Promise<void> {
  const { timers, shards } = ports
  if (ports.failureDetector.isIsolated) {
    ports.decisions.record({ event: 'turnRefused', reason: 'cut off from the owners', request: req.attempt.id, program: turn.program, previous: turn.previous, detail: {} })
    req.reply.refuse({ type: 'peerUnreachable', retryAfterMs: serveTurn.shardRetryMs })
    return
  }
  const partition = shards.getPartition(turn.program)
  const startedAt = timers.monotonic()
  let unownedSince = startedAt
  const denial = new OwnerDenial(ports)
  let lastStep: RoutingStep
  let lastLocation: ownShards.ShardLocation
  do {
    const location = shards.locate(partition)
    const step: RoutingStep = denial.isCurrent(location) ? { type: 'again', reason: 'notOwner' } : await tryLocation(ports, req, turn, partition, location)
    if (step.type === 'done') return
    lastStep = step
    lastLocation = location
    if (step.type === 'later') break
    if (step.type === 'again' && step.reason === 'notOwner') denial.note(location)
    if (hasOwner(step)) unownedSince = timers.monotonic()
    void shards.refreshOwners()
    await timerService.sleep(timers, pollIntervalMs)
  } while (!req.reply.over && timers.monotonic() < Math.min(req.deadlineAt, unownedSince + shards.leaseMs))
  const retryAfterMs = estimateRetryMs(ports, partition)
  ports.decisions.record({ event: 'turnRefused', reason: 'nobody serves the shard', request: req.attempt.id, program: turn.program, previous: turn.previous, detail: { partition, waitedMs: Math.round(timers.monotonic() - startedAt), ownersAgeMs: Math.round(shards.ownersAgeMs), last: { place: describeLocation(lastLocation), step: lastStep } } })
  req.reply.refuse({ type: 'shardMoving', retryAfterMs })
}

/**
 * Estimates when the shard will be served again, in ms from now. A handover is almost complete; an owner that
 * reports no more is evicted within half a second, and one that wasn't by then keeps the shard until its lease expires.
 */
function estimateRetryMs (ports: RouteTurnPorts, partition: shardLog.Partition): number {
  const location = ports.shards.locate(partition)
  if (location.type !== 'member') return serveTurn.shardRetryMs
  const silentMs = ports.suspects.getSilentMs(location.member, ports.timers.monotonic())
  const takeoverAfterMs = silentMs < failureDetectionMs ? failureDetectionMs + takeoverMs : ports.shards.leaseMs + takeoverMs
  return Math.max(serveTurn.shardRetryMs, takeoverAfterMs - silentMs)
}

/** Time from the first request that an owner didn't accept until it is evicted, in ms: one probe of all peers. */
const failureDetectionMs = 250
/** Time from an expired lease until the shard is served again, in ms: half a heartbeat interval, the handover, and loading the shard. */
const takeoverMs = 300

/** A member that has just said that it does not own the shard is asked again only after the owners were read anew. */
class OwnerDenial {
  private member: string | undefined
  private deniedAt = 0

  constructor (private readonly ports: Pick<RouteTurnPorts, 'shards' | 'timers'>) {}

  note (location: ownShards.ShardLocation): void {
    if (this.isCurrent(location)) return
    this.member = location.type === 'member' ? location.member : undefined
    this.deniedAt = this.ports.timers.monotonic()
  }

  isCurrent (location: ownShards.ShardLocation): boolean {
    if (location.type !== 'member' || location.member !== this.member) return false
    return this.ports.timers.monotonic() - this.ports.shards.ownersAgeMs <= this.deniedAt
  }
}

/** Result of one attempt to reach the owner. */
type RoutingStep =
  | { readonly type: 'done' }
  /** Nothing ran; locate the owner again and retry. */
  | { readonly type: 'again', readonly reason: string }
  /** Nothing ran: the host of the owner, which may be alive, takes no connection just now; retry. */
  | { readonly type: 'noConnection' }
  /** Nothing ran, and a retry soon would fail the same way. */
  | { readonly type: 'later', readonly reason: string }

/** Whether the shard had an owner until the step ended: one that may be alive is waited for until the deadline, and then the next one. */
function hasOwner (step: RoutingStep): boolean {
  return step.type === 'noConnection' || (step.type === 'again' && step.reason === 'moved')
}

async function tryLocation (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, partition: shardLog.Partition, location: ownShards.ShardLocation): Promise<RoutingStep> {
  switch (location.type) {
    case 'unknown': return { type: 'again', reason: 'no owner known' }
    case 'here':
      if (location.shard.state !== 'serving') return { type: 'again', reason: location.shard.state }
      if (!isRetained(req)) return toRoutingStep(await tryUnretained(ports, req, turn, { type: 'here', shard: location.shard }))
      await serveTurn.serveTurn(ports, req, turn, location.shard)
      return { type: 'done' }
    case 'member': return tryPeer(ports, req, turn, partition, location.member)
  }
}

async function tryPeer (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, partition: shardLog.Partition, member: string): Promise<RoutingStep> {
  const { shards, suspects, timers } = ports
  if (suspects.has(member, timers.monotonic())) {
    return { type: shards.hasRecentlyEvicted(member) ? 'again' : 'later', reason: 'the owner did not answer just now' }
  }
  const address = memberName.parsePeerAddress(member)
  const owner: lateOwner.OwnerTarget = {
    address,
    isOwner: () => isMember(shards.locate(partition), member),
    refreshOwners: () => { void shards.refreshOwners() },
    answerTimeoutMs: Math.max(0, req.deadlineAt - timers.monotonic())
  }
  const step = isRetained(req) ? await forwardToOwner(ports, req, turn, member, owner) : await tryUnretained(ports, req, turn, { type: 'peer', owner })
  if (step.type !== 'unresponsive') return step
  if (!step.ended && !ports.peerProbe.hasFallenSilent(address)) {
    ports.failureDetector.suspect(address)
    // A reservation may have arrived: it is not repeated at the same owner.
    return isRetained(req) ? { type: 'noConnection' } : { type: 'later', reason: 'the owner has not answered in time' }
  }
  suspects.add(member, timers.monotonic())
  if (step.ended) void shards.evict(member, 'ended')
  else ports.failureDetector.suspect(address)
  return toRoutingStep(step)
}

function isMember (location: ownShards.ShardLocation, member: string): boolean {
  return location.type === 'member' && location.member === member
}

function toRoutingStep (step: RoutingStep | UnresponsiveOwner): RoutingStep {
  return step.type === 'unresponsive' ? { type: 'again', reason: 'unreachable' } : step
}

/** The owner didn't accept the turn. */
interface UnresponsiveOwner {
  readonly type: 'unresponsive'
  /** The owner's process has exited. */
  readonly ended: boolean
}

/** Forwards a retained turn, which only the owner of its program may serve. */
async function forwardToOwner (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, member: string, owner: lateOwner.OwnerTarget): Promise<RoutingStep | UnresponsiveOwner> {
  ports.decisions.record({ event: 'passedOn', request: req.attempt.id, program: turn.program, owner: member, ownersAgeMs: Math.round(ports.shards.ownersAgeMs) })
  const outcome = await forwardTurn.forwardTurn(ports, req, owner)
  switch (outcome.type) {
    case 'answered': return { type: 'done' }
    case 'notOwner':
    case 'moved':
    case 'connectionLost': return { type: 'again', reason: outcome.type }
    case 'late': return { type: 'later', reason: 'the owner has not accepted the turn in time' }
    case 'unreachable': return { type: 'unresponsive', ended: outcome.ended }
  }
}

/** Runs a turn that is not retained in this process, with tokens that the owner of its program has reserved. */
async function tryUnretained (ports: RouteTurnPorts, req: inbound.InboundRequest, turn: dialects.TurnFields, owner: serveUnretained.ReservationOwner): Promise<RoutingStep | UnresponsiveOwner> {
  const call = serveUnretained.createReserveCall(req, turn)
  const outcome = await serveUnretained.reserveTokens(ports, owner, call)
  switch (outcome.type) {
    case 'none': return { type: 'unresponsive', ended: outcome.ended }
    // Not again: if it is the same owner, the release of this reservation could undo the next one.
    case 'moved': return { type: 'later', reason: outcome.type }
    case 'late': return { type: 'later', reason: 'the owner has not answered in time' }
    case 'answer':
  }
  const { answer } = outcome
  switch (answer.type) {
    case 'notOwner': return { type: 'again', reason: answer.type }
    case 'reserved':
      if (req.reply.over) serveUnretained.releaseReservation(ports, owner, { ...call, type: 'release', tokens: 0 })
      else serveUnretained.runReservedTurn(ports, req, turn, owner, call, answer.holder)
      return { type: 'done' }
    case 'overBudget':
      req.reply.refuse({ type: 'overBudget' })
      return { type: 'done' }
    case 'later':
      req.reply.refuse({ type: answer.reason, retryAfterMs: answer.retryAfterMs })
      return { type: 'done' }
  }
}

function isRetained (req: inbound.InboundRequest): boolean {
  return req.route.retain?.keepsTurns === true
}

/** Returns the shard of a program if this process serves it now. */
export function findServingShard (ports: Pick<RouteTurnPorts, 'shards'>, program: types.ProgramId): ownShards.OwnedShard | undefined {
  const shard = findOwnShard(ports, program)
  return shard?.state === 'serving' ? shard : undefined
}

/**
 * The same, once the shard has been opened: the former owner has released it, so that no other process could serve the
 * program meanwhile. Waits for a lease at most.
 */
export async function awaitServingShard (ports: Pick<RouteTurnPorts, 'shards' | 'timers'>, program: types.ProgramId): Promise<ownShards.OwnedShard | undefined> {
  const shard = findOwnShard(ports, program)
  if (shard?.state === 'opening') await timerService.withTimeout(ports.timers, shard.opened, ports.shards.leaseMs)
  return findServingShard(ports, program)
}

/** Returns the shard of a program if it is assigned to this process. */
function findOwnShard (ports: Pick<RouteTurnPorts, 'shards'>, program: types.ProgramId): ownShards.OwnedShard | undefined {
  const location = ports.shards.locate(ports.shards.getPartition(program))
  return location.type === 'here' ? location.shard : undefined
}

function describeLocation (location: ownShards.ShardLocation): { readonly type: string, readonly state?: string, readonly member?: string, readonly partition?: shardLog.Partition } {
  switch (location.type) {
    case 'unknown': return { type: 'unknown' }
    case 'member': return { type: 'member', member: location.member }
    case 'here': return { type: 'here', state: location.shard.state }
  }
}
