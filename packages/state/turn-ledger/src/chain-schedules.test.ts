import * as fc from 'fast-check'
import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import type * as records from './records.js'
import type * as turnChains from './turn-chains.js'
import * as turnLedger from './turn-ledger.js'

const shardCount = 2
const programCount = 4
const retainMs = 20_000
const maxTokens = 40
/** A client waits no longer for the end of a response, in ms. */
const maxResponseMs = 8_000

/** One step of a schedule. Numbers select among what exists at that moment. */
type Step =
  /** A program begins a turn, which continues from the chosen answered turn, or from none. `isSpent`: its budget does not hold the turn. */
  | { readonly type: 'begin', readonly program: number, readonly previous: number | undefined, readonly isSpent: boolean }
  | { readonly type: 'end', readonly turn: number, readonly how: 'whole' | 'broken' | 'notRun' }
  /** The store takes the oldest commits of a shard. */
  | { readonly type: 'store', readonly shard: number, readonly commits: number }
  /** The owner of a shard ends; the store has taken some of its commits. */
  | { readonly type: 'kill', readonly shard: number, readonly commits: number }
  | { readonly type: 'removeExpired', readonly shard: number }
  | { readonly type: 'wait', readonly ms: number }

const shard = fc.nat({ max: shardCount - 1 })
const choice = fc.nat({ max: 1_000 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('begin' as const), program: fc.nat({ max: programCount - 1 }), previous: fc.option(choice, { nil: undefined, freq: 4 }), isSpent: fc.boolean() }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('end' as const), turn: choice, how: fc.constantFrom('whole' as const, 'whole' as const, 'whole' as const, 'broken' as const, 'notRun' as const) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('store' as const), shard, commits: fc.integer({ min: 1, max: 4 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), shard, commits: fc.nat({ max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('removeExpired' as const), shard }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.constantFrom(1_000, 8_000, 12_000, 19_000) }) }
)

interface Commit {
  readonly writes: readonly turnLedger.LedgerWrite[]
  /** The turn whose response ends once the commit is stored, and when the upstream's answer was complete. */
  readonly answers: AnsweredTurn | undefined
}

interface Shard {
  ledger: turnLedger.TurnLedger
  readonly stored: Map<string, Uint8Array>
  commits: Commit[]
}

interface AnsweredTurn {
  readonly request: turnLedger.TurnRequest
  readonly at: number
}

/** Shards whose owners may end, with the store that their records are in. */
class Shards {
  private now = 1_000_000
  private turnCount = 0
  private readonly shards: Shard[] = Array.from({ length: shardCount }, () => ({ ledger: new turnLedger.TurnLedger(), stored: new Map(), commits: [] }))
  private open: { readonly request: turnLedger.TurnRequest, readonly ledger: turnLedger.TurnLedger }[] = []
  private readonly answered: AnsweredTurn[] = []

  run (current: Step): void {
    switch (current.type) {
      case 'begin': return this.begin(current)
      case 'end': return this.end(current.turn, current.how)
      case 'store': return this.store(this.shards[current.shard]!, current.commits)
      case 'kill': return this.kill(this.shards[current.shard]!, current.commits)
      case 'removeExpired': return this.removeExpired(this.shards[current.shard]!)
      case 'wait': this.now += current.ms
    }
  }

  /** Stores everything and checks that what a successor loads can be continued like what the owner has. */
  checkSuccessors (): void {
    for (const current of this.shards) {
      this.store(current, Infinity)
      const successor = load(current.stored)
      for (const { request } of this.answered) {
        const own = current.ledger.exportChain(request.turn, undefined)?.map(({ turn }) => turn).join()
        const loaded = successor.exportChain(request.turn, undefined)?.map(({ turn }) => turn).join()
        if (own !== loaded) throw new Error(`${request.turn}: the owner has ${own ?? 'nothing'}, a successor ${loaded ?? 'nothing'}`)
      }
    }
    for (const { request } of this.listKept()) {
      if (this.findChain(request.turn) === undefined) throw new Error(`${request.turn} was answered and is lost`)
    }
  }

  private begin ({ program, previous, isSpent }: Extract<Step, { type: 'begin' }>): void {
    const kept = this.listKept()
    const continued = previous === undefined || kept.length === 0 ? undefined : kept[previous % kept.length]!.request.turn
    this.turnCount += 1
    const request: turnLedger.TurnRequest = {
      turn: `t${this.turnCount}` as records.TurnId,
      program: `p${program}` as types.ProgramId,
      account: undefined,
      previous: continued,
      maxTokens,
      budgetTokens: isSpent ? 1 : undefined,
      keeps: true,
      retainMs
    }
    const current = this.getShard(request)
    let admission = current.ledger.admitTurn(request, this.now as types.EpochMs)
    if (admission.type === 'unknownPrevious') {
      const chain = this.findChain(continued!)
      if (chain === undefined) throw new Error(`${continued} was answered and is not found`)
      admission = current.ledger.admitTurn(request, this.now as types.EpochMs, chain)
    }
    if (admission.type === 'unknownPrevious') throw new Error(`${continued} can't be continued from its copy`)
    if (admission.type === 'overBudget') return
    this.open.push({ request, ledger: current.ledger })
    if (admission.writes.length > 0) current.commits.push({ writes: admission.writes, answers: undefined })
  }

  /** Ends a turn with its ledger, or with the next owner's if its own has ended meanwhile. */
  private end (index: number, how: 'whole' | 'broken' | 'notRun'): void {
    if (this.open.length === 0) return
    const [{ request, ledger }] = this.open.splice(index % this.open.length, 1) as [Shards['open'][number]]
    const current = this.getShard(request)
    if (how !== 'whole') {
      if (ledger === current.ledger) ledger.settleTurn(request, { type: how }, this.now as types.EpochMs)
      return
    }
    const end = { type: 'whole' as const, input: Buffer.from(`in ${request.turn};`), output: Buffer.from(`out ${request.turn};`), tokens: 20 }
    const settled = current.ledger.settleTurn(request, end, this.now as types.EpochMs)
    const outcome = settled.type === 'unknown' ? current.ledger.adoptTurn(request, end, this.now as types.EpochMs, { isReserved: true }) : settled
    if (outcome.type === 'chainIncomplete') throw new Error(`${request.turn} builds on a chain that is incomplete`)
    if (outcome.type === 'settled') current.commits.push({ writes: outcome.writes, answers: { request, at: this.now } })
  }

  private store (current: Shard, count: number): void {
    for (const { writes, answers } of current.commits.splice(0, Math.min(count, current.commits.length))) {
      for (const { key, value } of writes) {
        if (value === undefined) current.stored.delete(key)
        else current.stored.set(key, value)
      }
      current.ledger.acknowledgeWrites(writes)
      if (answers !== undefined && this.now - answers.at <= maxResponseMs) this.answered.push({ ...answers, at: this.now })
    }
  }

  private kill (current: Shard, storedCommits: number): void {
    this.store(current, storedCommits)
    current.commits = []
    current.ledger = load(current.stored)
  }

  private removeExpired (current: Shard): void {
    const writes = current.ledger.removeExpired(this.now as types.EpochMs)
    if (writes.length > 0) current.commits.push({ writes, answers: undefined })
  }

  private listKept (): AnsweredTurn[] {
    return this.answered.filter(({ at }) => this.now - at < retainMs)
  }

  private findChain (turn: records.TurnId): turnChains.StoredTurn[] | undefined {
    for (const { ledger } of this.shards) {
      const chain = ledger.exportChain(turn, undefined)
      if (chain !== undefined) return chain
    }
    return undefined
  }

  private getShard ({ program }: turnLedger.TurnRequest): Shard {
    return this.shards[Number(program.slice(1)) % shardCount]!
  }
}

function load (stored: ReadonlyMap<string, Uint8Array>): turnLedger.TurnLedger {
  const ledger = new turnLedger.TurnLedger()
  for (const [key, value] of stored) ledger.loadRecord(key, value)
  const incomplete = ledger.extendLoadedChains()
  if (incomplete.length > 0) throw new Error(`${incomplete.join()} can't be continued by the next owner`)
  return ledger
}

// Guards against histories that only the memory of an owner has, or that expire under a turn that builds on them.
tap.test('in drawn schedules, what a successor loads can be continued like what the owner has', (t) => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 150 }), (steps) => {
    const shards = new Shards()
    for (const current of steps) shards.run(current)
    shards.checkSuccessors()
  }), { numRuns: 10_000, seed: 54 })
  t.pass('drawn with seed 54')
  t.end()
})
