import tap from 'tap'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import type * as records from './records.js'
import * as turnLedger from './turn-ledger.js'

const now = 1_000_000 as types.EpochMs
const program = 'roster-7' as types.ProgramId

function turnRequest (id: string, previous?: string, budgetTokens?: number): turnLedger.TurnRequest {
  return { turn: id as records.TurnId, program, account: undefined, previous: previous as records.TurnId | undefined, maxTokens: 40, budgetTokens, keeps: true, retainMs: 60_000 }
}

function whole (text: string, tokens = 20): Extract<turnLedger.TurnEnd, { type: 'whole' }> {
  return { type: 'whole', input: Buffer.from(`in ${text};`), output: Buffer.from(`out ${text};`), tokens }
}

function play (ledger: turnLedger.TurnLedger, id: string, previous?: string): readonly turnLedger.LedgerWrite[] {
  ledger.admitTurn(turnRequest(id, previous), now)
  const outcome = ledger.settleTurn(turnRequest(id, previous), whole(id), now)
  if (outcome.type !== 'settled') throw new Error(outcome.type)
  return outcome.writes
}

function promptOf (ledger: turnLedger.TurnLedger, previous: string): string | undefined {
  const admission = ledger.admitTurn(turnRequest('probe', previous), now)
  return admission.type === 'admitted' ? Buffer.concat(admission.chain).toString() : undefined
}

tap.test('a prompt repeats the chain, oldest turn first', (t) => {
  const ledger = new turnLedger.TurnLedger()
  play(ledger, 'a')
  play(ledger, 'b', 'a')
  play(ledger, 'c', 'a')
  t.equal(promptOf(ledger, 'b'), 'in a;out a;in b;out b;')
  t.equal(promptOf(ledger, 'c'), 'in a;out a;in c;out c;')
  t.end()
})

tap.test('a program of another shard continues from a copy of the chain', (t) => {
  const ledger = new turnLedger.TurnLedger()
  play(ledger, 'a')
  play(ledger, 'b', 'a')
  const other = new turnLedger.TurnLedger()
  const request = { ...turnRequest('x', 'b'), program: 'other' as types.ProgramId }
  t.equal(other.admitTurn(request, now).type, 'unknownPrevious')
  const writes = other.importChain(ledger.exportChain('b' as records.TurnId, undefined)!)
  t.same(writes.map(({ key }) => key).sort(), ['ta', 'tb'])
  t.equal(other.admitTurn(request, now).type, 'admitted')
  t.equal(promptOf(other, 'b'), promptOf(ledger, 'b'))
  t.equal(ledger.exportChain('c' as records.TurnId, undefined), undefined)
  t.end()
})

tap.test('a chain is continued by its own account only, also from a copy and from records', (t) => {
  const ledger = new turnLedger.TurnLedger()
  const account = 'coaches' as types.AccountId
  const own = { ...turnRequest('a'), account }
  ledger.admitTurn(own, now)
  const outcome = ledger.settleTurn(own, whole('a'), now)
  if (outcome.type !== 'settled') throw new Error(outcome.type)
  const reloaded = new turnLedger.TurnLedger()
  for (const { key, value } of outcome.writes) reloaded.loadRecord(key, value!)
  for (const one of [ledger, reloaded]) {
    for (const other of [undefined, 'leagues' as types.AccountId]) {
      t.equal(one.admitTurn({ ...turnRequest('b', 'a'), account: other }, now).type, 'unknownPrevious')
      t.equal(one.exportChain('a' as records.TurnId, other), undefined)
    }
    t.equal(one.exportChain('a' as records.TurnId, account)?.length, 1)
    t.equal(one.admitTurn({ ...turnRequest('b', 'a'), account }, now).type, 'admitted')
  }
  t.end()
})

tap.test('a turn that is under way or broke off can not be continued', (t) => {
  const ledger = new turnLedger.TurnLedger()
  ledger.admitTurn(turnRequest('a'), now)
  t.equal(promptOf(ledger, 'a'), undefined)
  ledger.settleTurn(turnRequest('a'), { type: 'broken' }, now)
  t.equal(promptOf(ledger, 'a'), undefined)
  t.end()
})

tap.test('the next owner keeps chains, budgets and open turns', (t) => {
  const former = new turnLedger.TurnLedger()
  const writes = [...play(former, 'a'), ...play(former, 'b', 'a')]
  const open = former.admitTurn(turnRequest('c', 'b'), now)
  if (open.type !== 'admitted') throw new Error(open.type)
  const next = new turnLedger.TurnLedger()
  for (const { key, value } of [...writes, ...open.writes]) next.loadRecord(key, value!)
  next.extendLoadedChains()
  t.equal(promptOf(next, 'b'), 'in a;out a;in b;out b;')
  t.equal(next.settleTurn(turnRequest('c', 'b'), whole('c'), now).type, 'settled')
  t.equal(next.settleTurn(turnRequest('c', 'b'), whole('c'), now).type, 'alreadyKept')
  t.equal(next.settleTurn(turnRequest('never', 'b'), whole('never'), now).type, 'unknown')
  t.end()
})

tap.test('a turn that stored records count already needs no record of its own, and is kept by the next owner', (t) => {
  const former = new turnLedger.TurnLedger()
  const stored = new Map<string, Uint8Array>()
  const store = (writes: readonly turnLedger.LedgerWrite[]): void => {
    for (const { key, value } of writes) stored.set(key, value!)
    former.acknowledgeWrites(writes)
  }
  const first = turnRequest('a', undefined, 800)
  const begun = former.admitTurn(first, now)
  if (begun.type !== 'admitted') throw new Error(begun.type)
  t.notOk(begun.isCovered)
  store(begun.writes)
  const ended = former.settleTurn(first, whole('a'), now)
  if (ended.type !== 'settled') throw new Error(ended.type)
  store(ended.writes)
  const second = turnRequest('b', 'a', 800)
  t.match(former.admitTurn(second, now), { type: 'admitted', isCovered: true, writes: [] })
  const next = new turnLedger.TurnLedger()
  for (const [key, value] of stored) next.loadRecord(key, value)
  t.equal(next.settleTurn(second, whole('b'), now).type, 'unknown')
  t.equal(next.adoptTurn(second, whole('b'), now).type, 'settled')
  t.equal(promptOf(next, 'b'), 'in a;out a;in b;out b;')
  t.end()
})

tap.test('a chain is kept as long as its newest turn', (t) => {
  const ledger = new turnLedger.TurnLedger()
  play(ledger, 'a')
  const later = now + 50_000 as types.EpochMs
  ledger.admitTurn(turnRequest('b', 'a'), later)
  ledger.settleTurn(turnRequest('b', 'a'), whole('b'), later)
  t.same(ledger.removeExpired(now + 90_000 as types.EpochMs), [])
  const dropped = ledger.removeExpired(now + 130_000 as types.EpochMs).map(({ key }) => key)
  t.same(dropped.sort(), ['proster-7', 'ta', 'tb'])
  t.end()
})

tap.test('tokens handed out never pass the budget, whatever breaks off or moves', (t) => {
  const step = fc.record({ how: fc.constantFrom('whole', 'broken', 'notRun', 'leave', 'move'), tokens: fc.integer({ min: 0, max: 40 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.integer({ min: 0, max: 400 }), (steps, budget) => {
    let ledger = new turnLedger.TurnLedger()
    const stored = new Map<string, Uint8Array>()
    let handedOut = 0
    steps.forEach(({ how, tokens }, index) => {
      const request = turnRequest(`t${index}`, undefined, budget)
      const admission = ledger.admitTurn(request, now)
      if (admission.type !== 'admitted') return
      for (const { key, value } of admission.writes) stored.set(key, value!)
      if (how === 'whole' || how === 'broken' || how === 'leave') handedOut += tokens
      if (how === 'leave') return
      if (how === 'move') {
        ledger = new turnLedger.TurnLedger()
        for (const [key, value] of stored) ledger.loadRecord(key, value)
        return
      }
      const end: turnLedger.TurnEnd = how === 'whole' ? whole('x', tokens) : { type: how }
      const outcome = ledger.settleTurn(request, end, now)
      if (how === 'whole' && outcome.type === 'settled') for (const { key, value } of outcome.writes) stored.set(key, value!)
    })
    return handedOut <= budget
  }), { seed: 7, numRuns: 500 })
  t.end()
})

interface Life {
  ledger: turnLedger.TurnLedger
  readonly waiting: (readonly turnLedger.LedgerWrite[])[]
}

tap.test('over owners that crash or hand over, with a store that lags, a program gets its budget and one turn at the most', (t) => {
  const most = 40
  const step = fc.record({ how: fc.constantFrom('whole', 'whole', 'whole', 'broken', 'notRun', 'leave', 'store', 'storeAll', 'crash', 'handOver'), tokens: fc.constantFrom(0, 11, most) })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.integer({ min: most, max: 320 }), fc.boolean(), (steps, budgetTokens, keeps) => {
    const stored = new Map<string, Uint8Array>()
    let handedOut = 0
    let at = now as number
    let life: Life
    const storeNext = (): void => {
      const writes = life.waiting.shift()
      if (writes === undefined) return
      for (const { key, value } of writes) stored.set(key, value!)
      life.ledger.acknowledgeWrites(writes)
    }
    const storeAll = (): void => { while (life.waiting.length > 0) storeNext() }
    const begin = (): void => {
      life = { ledger: new turnLedger.TurnLedger(), waiting: [] }
      for (const [key, value] of stored) life.ledger.loadRecord(key, value)
      life.ledger.extendLoadedChains()
      life.waiting.push(life.ledger.activateAllowance(at as types.EpochMs))
      storeAll()
    }
    begin()
    steps.forEach(({ how, tokens }, index) => {
      at += 100
      switch (how) {
        case 'store': return storeNext()
        case 'storeAll': return storeAll()
        case 'crash': return begin()
        case 'handOver':
          life.waiting.push(life.ledger.prepareHandover())
          storeAll()
          return begin()
      }
      const request = { ...turnRequest(`t${index}`, undefined, budgetTokens), keeps }
      const admission = life.ledger.admitTurn(request, at as types.EpochMs)
      if (admission.type !== 'admitted') return
      life.waiting.push(admission.writes)
      if (!admission.isCovered) storeAll()
      if (how !== 'notRun') handedOut += tokens
      if (how === 'leave') return
      const end: turnLedger.TurnEnd = how === 'whole' ? whole('x', tokens) : { type: how }
      const outcome = life.ledger.settleTurn(request, end, at as types.EpochMs)
      if (outcome.type === 'settled') life.waiting.push(outcome.writes)
    })
    // What is left is used up: whatever was not counted shows.
    for (let turn = 0; life!.ledger.admitTurn({ ...turnRequest(`rest${turn}`, undefined, budgetTokens), keeps }, at as types.EpochMs).type === 'admitted'; turn += 1) handedOut += most
    return handedOut <= budgetTokens + most
  }), { seed: 11, numRuns: 10_000 })
  t.end()
})

tap.test('a program of three turns needs no record, and its owner crash costs it none of them', (t) => {
  const ledger = new turnLedger.TurnLedger()
  ledger.activateAllowance(now)
  const enquiry = (id: string): turnLedger.TurnRequest => ({ ...turnRequest(id, undefined, 120), keeps: false })
  for (const id of ['a', 'b']) {
    t.match(ledger.admitTurn(enquiry(id), now), { type: 'admitted', isCovered: true, writes: [] })
    t.match(ledger.settleTurn(enquiry(id), whole(id, 11), now), { type: 'settled', writes: [] })
  }
  const next = new turnLedger.TurnLedger()
  next.loadRecord('a', ledger.activateAllowance(now)[0]!.value!)
  next.activateAllowance(now)
  t.match(next.admitTurn(enquiry('c'), now), { type: 'admitted' })
  t.end()
})

tap.test('a program that has room for another turn has it after its owner crashed', (t) => {
  for (const [budgetTokens, keeps] of [[800, true], [400, true], [120, true], [800, false], [400, false]] as const) {
    const former = new turnLedger.TurnLedger()
    const writes: turnLedger.LedgerWrite[] = [...former.activateAllowance(now)]
    const request = (id: string): turnLedger.TurnRequest => ({ ...turnRequest(id, undefined, budgetTokens), keeps })
    for (let spent = 0; spent + 2 * 40 <= budgetTokens; spent += 40) {
      const admission = former.admitTurn(request(`t${spent}`), now)
      if (admission.type !== 'admitted') throw new Error(admission.type)
      const end = former.settleTurn(request(`t${spent}`), whole('x', 40), now)
      if (end.type !== 'settled') throw new Error(end.type)
      writes.push(...admission.writes, ...end.writes)
      former.acknowledgeWrites([...admission.writes, ...end.writes])
      const next = new turnLedger.TurnLedger()
      for (const { key, value } of writes) next.loadRecord(key, value!)
      next.extendLoadedChains()
      t.match(next.admitTurn(request('after'), now), { type: 'admitted' }, `${spent + 40} of ${budgetTokens} spent, ${keeps ? 'kept' : 'not kept'}`)
    }
  }
  t.end()
})

tap.test('after every process lost power, programs that continue from kept turns have their whole budget', (t) => {
  const former = new turnLedger.TurnLedger()
  const writes = [...former.activateAllowance(now), ...play(former, 'a')]
  const next = new turnLedger.TurnLedger()
  for (const { key, value } of writes) next.loadRecord(key, value!)
  next.activateAllowance(now)
  const request = { ...turnRequest('b', 'a', 40), program: 'new' as types.ProgramId }
  t.match(next.admitTurn(request, now), { type: 'admitted', isCovered: false })
  t.end()
})

tap.test('a turn whose reservation the former owner could not store is kept by the next one, and counts', (t) => {
  const former = new turnLedger.TurnLedger()
  const writes = play(former, 'a')
  const next = new turnLedger.TurnLedger()
  for (const { key, value } of writes) next.loadRecord(key, value!)
  const request = turnRequest('b', 'a', 100)
  t.equal(next.settleTurn(request, whole('b'), now).type, 'unknown')
  t.equal(next.adoptTurn(request, whole('b'), now).type, 'settled')
  t.equal(next.adoptTurn(request, whole('b'), now).type, 'alreadyKept')
  t.equal(next.adoptTurn(turnRequest('d', 'c'), whole('d'), now).type, 'unknown')
  t.equal(promptOf(next, 'b'), 'in a;out a;in b;out b;')
  t.match(next.admitTurn({ ...turnRequest('e', 'b', 100), maxTokens: 61 }, now), { type: 'overBudget' })
  t.end()
})
