/** Whatever happens to owners and the store: what was acknowledged is known to whoever serves the shard later. */
import * as assert from 'node:assert/strict'
import tap from 'tap'
import * as fc from 'fast-check'
import * as decisionLog from '@eelgrasswind/decision-log'
import * as standIns from '@eelgrasswind/stand-ins'
import * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as shardOwner from './shard-owner.js'

const parts = 4
const names = ['a', 'b', 'c'] as const
const seed = 20_261_202
const now = 1_000_000 as types.EpochMs

type Step =
  | { readonly type: 'turn', readonly program: number }
  | { readonly type: 'kill' | 'restart' | 'heal' | 'revoke' | 'leave', readonly member: number }
  | { readonly type: 'fault', readonly member: number, readonly fault: keyof standIns.ShardLogFaults }
  | { readonly type: 'evict', readonly by: number, readonly member: number }
  | { readonly type: 'wait', readonly ms: number }

const member = fc.integer({ min: 0, max: names.length - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('turn' as const), program: fc.integer({ min: 0, max: 7 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('kill' as const, 'restart' as const, 'heal' as const, 'revoke' as const, 'leave' as const), member }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fault' as const), member, fault: fc.constantFrom('refuse' as const, 'loseAnswers' as const, 'silent' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('evict' as const), by: member, member }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 2_000 }) }) }
)

class World {
  readonly timers = timerService.createManualTimers()
  private readonly store = new standIns.MemoryShardLog(this.timers, parts)
  private readonly faults = names.map(() => standIns.noFaults())
  private owners: (shardOwner.ShardOwner | undefined)[] = names.map((_, at) => this.start(at))
  private turns = 0
  /** Turns whose end was acknowledged, with their programs. */
  readonly acknowledged = new Map<turnLedger.TurnId, types.ProgramId>()

  private start (at: number): shardOwner.ShardOwner {
    const owner = new shardOwner.ShardOwner({ group: 'homes', member: names[at]!, topics: ['keyed.turns-0'], partitionsPerTopic: parts, leaseMs: 1_100, heartbeatMs: 300, ownersPollMs: 1_000, handoverTimeoutMs: 900 }, {
      log: this.store.client(this.faults[at]),
      timers: this.timers,
      decisions: decisionLog.createSilentDecisionLog(),
      onShardsReleased: () => { for (const other of this.owners) if (other !== owner) other?.joinNow() }
    })
    owner.start()
    return owner
  }

  async apply (next: Step): Promise<void> {
    switch (next.type) {
      case 'turn':
        this.keepTurn(`program-${next.program}` as types.ProgramId)
        return
      case 'kill':
        this.owners[next.member]?.close()
        this.owners[next.member] = undefined
        return
      case 'restart':
        this.owners[next.member]?.close()
        this.owners[next.member] = this.start(next.member)
        return
      case 'leave':
        void this.owners[next.member]?.leave()
        return
      case 'heal':
        Object.assign(this.faults[next.member]!, standIns.noFaults())
        return
      case 'fault':
        this.faults[next.member]![next.fault] = true
        return
      case 'revoke':
        this.store.revoke(names[next.member]!)
        return
      case 'evict':
        void this.owners[next.by]?.evict(names[next.member]!, 'ended')
        return
      case 'wait':
        await this.timers.advanceAsync(next.ms)
    }
  }

  /** Every process that thinks that it serves the program runs a turn: only appends that the store takes count. */
  private keepTurn (program: types.ProgramId): void {
    for (const owner of this.owners) {
      const place = owner?.locate(owner.getPartition(program))
      if (place?.type !== 'here' || place.shard.state !== 'serving') continue
      const turn = `turn-${this.turns++}` as turnLedger.TurnId
      const request: turnLedger.TurnRequest = { turn, program, account: undefined, previous: undefined, maxTokens: 10, budgetTokens: undefined, keeps: true, retainMs: 600_000 }
      const admission = place.shard.ledger.admitTurn(request, now)
      if (admission.type !== 'admitted') continue
      void place.shard.commit(admission.writes).then(async (reserved) => {
        if (reserved.type === 'lost') return
        const end = place.shard.ledger.settleTurn(request, { type: 'whole', input: Buffer.from('in'), output: Buffer.from('out'), tokens: 10 }, now)
        const kept = await place.shard.commit(end.type === 'settled' ? end.writes : [])
        if (end.type === 'settled' && kept.type === 'committed') this.acknowledged.set(turn, program)
      })
    }
  }

  async settle (): Promise<void> {
    for (const faults of this.faults) Object.assign(faults, standIns.noFaults())
    this.owners = this.owners.map((owner, at) => {
      owner?.close()
      return this.start(at)
    })
    await this.timers.advanceAsync(20_000)
  }

  /** What is served now, and by how many. */
  check (): void {
    const serving = this.owners.flatMap((owner) => owner?.listServingShards() ?? [])
    assert.equal(serving.length, parts, 'each shard is served once')
    for (const [turn, program] of this.acknowledged) {
      const place = this.owners.map((owner) => owner!.locate(owner!.getPartition(program))).find(({ type }) => type === 'here')
      assert.ok(place?.type === 'here' && place.shard.ledger.exportChain(turn, undefined) !== undefined, `${turn} was acknowledged and is lost`)
    }
  }
}

tap.test('an acknowledged turn is known to every later owner', async (t) => {
  let acknowledged = 0
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 60 }), async (steps) => {
    const world = new World()
    await world.timers.advanceAsync(2_000)
    for (const next of steps) await world.apply(next)
    await world.settle()
    world.check()
    acknowledged += world.acknowledged.size
  }), { seed, numRuns: 150 })
  t.ok(acknowledged > 100, `${acknowledged} turns were acknowledged`)
})
