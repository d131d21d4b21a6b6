/**
 * Property test of shard ownership: under random crashes, evictions and store faults, every acknowledged turn is known
 * to each later owner of its shard.
 */
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
const memberNames = ['a', 'b', 'c'] as const
const seed = 20_261_202
const now = 1_000_000 as types.EpochMs

type Step =
  | { readonly type: 'turn', readonly program: number }
  | { readonly type: 'kill' | 'restart' | 'heal' | 'revoke' | 'leave', readonly member: number }
  | { readonly type: 'fault', readonly member: number, readonly fault: keyof standIns.ShardLogFaults }
  | { readonly type: 'evict', readonly by: number, readonly member: number }
  | { readonly type: 'wait', readonly ms: number }

const memberArbitrary = fc.integer({ min: 0, max: memberNames.length - 1 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('turn' as const), program: fc.integer({ min: 0, max: 7 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('kill' as const, 'restart' as const, 'heal' as const, 'revoke' as const, 'leave' as const), member: memberArbitrary }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('fault' as const), member: memberArbitrary, fault: fc.constantFrom('refuse' as const, 'loseAnswers' as const, 'silent' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('evict' as const), by: memberArbitrary, member: memberArbitrary }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 2_000 }) }) }
)

class Cluster {
  readonly timers = timerService.createManualTimers()
  private readonly store = new standIns.MemoryShardLog(this.timers, parts)
  private readonly faults = memberNames.map(() => standIns.noFaults())
  private owners: (shardOwner.ShardOwner | undefined)[] = memberNames.map((_, index) => this.startMember(index))
  private turnCount = 0
  /** Turns whose settlement the store acknowledged, with their programs. */
  readonly acknowledgedTurns = new Map<turnLedger.TurnId, types.ProgramId>()

  private startMember (index: number): shardOwner.ShardOwner {
    const owner = new shardOwner.ShardOwner({ group: 'homes', member: memberNames[index]!, topics: ['keyed.turns-0'], partitionsPerTopic: parts, leaseMs: 1_100, heartbeatMs: 300, ownersPollMs: 1_000, handoverTimeoutMs: 900 }, {
      log: this.store.client(this.faults[index]),
      timers: this.timers,
      decisions: decisionLog.createSilentDecisionLog(),
      onShardsReleased: () => { for (const other of this.owners) if (other !== owner) other?.joinNow() }
    })
    owner.start()
    return owner
  }

  async applyStep (step: Step): Promise<void> {
    switch (step.type) {
      case 'turn':
        this.runTurn(`program-${step.program}` as types.ProgramId)
        return
      case 'kill':
        this.owners[step.member]?.close()
        this.owners[step.member] = undefined
        return
      case 'restart':
        this.owners[step.member]?.close()
        this.owners[step.member] = this.startMember(step.member)
        return
      case 'leave':
        void this.owners[step.member]?.leave()
        return
      case 'heal':
        Object.assign(this.faults[step.member]!, standIns.noFaults())
        return
      case 'fault':
        this.faults[step.member]![step.fault] = true
        return
      case 'revoke':
        this.store.revoke(memberNames[step.member]!)
        return
      case 'evict':
        void this.owners[step.by]?.evict(memberNames[step.member]!, 'ended')
        return
      case 'wait':
        await this.timers.advanceAsync(step.ms)
    }
  }

  /**
   * Runs a turn at every process that believes it serves the program; a turn counts as acknowledged only if the store
   * accepted its appends.
   */
  private runTurn (program: types.ProgramId): void {
    for (const owner of this.owners) {
      const location = owner?.locate(owner.getPartition(program))
      if (location?.type !== 'here' || location.shard.state !== 'serving') continue
      const turn = `turn-${this.turnCount++}` as turnLedger.TurnId
      const request: turnLedger.TurnRequest = { turn, program, account: undefined, previous: undefined, maxTokens: 10, budgetTokens: undefined, keeps: true, retainMs: 600_000 }
      const admission = location.shard.ledger.admitTurn(request, now)
      if (admission.type !== 'admitted') continue
      void location.shard.commit(admission.writes).then(async (reservation) => {
        if (reservation.type === 'lost') return
        const settlement = location.shard.ledger.settleTurn(request, { type: 'whole', input: Buffer.from('in'), output: Buffer.from('out'), tokens: 10 }, now)
        const commit = await location.shard.commit(settlement.type === 'settled' ? settlement.writes : [])
        if (settlement.type === 'settled' && commit.type === 'committed') this.acknowledgedTurns.set(turn, program)
      })
    }
  }

  /** Clears every fault, restarts every member and waits until the assignment is stable. */
  async recover (): Promise<void> {
    for (const faults of this.faults) Object.assign(faults, standIns.noFaults())
    this.owners = this.owners.map((owner, index) => {
      owner?.close()
      return this.startMember(index)
    })
    await this.timers.advanceAsync(20_000)
  }

  /** Checks that each shard has exactly one serving owner and that this owner knows every acknowledged turn. */
  checkInvariants (): void {
    const servingShards = this.owners.flatMap((owner) => owner?.listServingShards() ?? [])
    assert.equal(servingShards.length, parts, 'each shard is served once')
    for (const [turn, program] of this.acknowledgedTurns) {
      const location = this.owners.map((owner) => owner!.locate(owner!.getPartition(program))).find(({ type }) => type === 'here')
      assert.ok(location?.type === 'here' && location.shard.ledger.exportChain(turn, undefined) !== undefined, `${turn} was acknowledged and is lost`)
    }
  }
}

tap.test('an acknowledged turn is known to every later owner', async (t) => {
  let acknowledgedCount = 0
  await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, { minLength: 5, maxLength: 60 }), async (steps) => {
    const cluster = new Cluster()
    await cluster.timers.advanceAsync(2_000)
    for (const step of steps) await cluster.applyStep(step)
    await cluster.recover()
    cluster.checkInvariants()
    acknowledgedCount += cluster.acknowledgedTurns.size
  }), { seed, numRuns: 150 })
  t.ok(acknowledgedCount > 100, `${acknowledgedCount} turns were acknowledged`)
})
