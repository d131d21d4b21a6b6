import tap from 'tap'
import type * as types from '@eelgrasswind/types'
import * as records from './test-records.js'
import * as programState from './index.js'

const { begin, claim, turn, createTurn, intent, settle, finish, term, key, mainBranch, homeA, homeB } = records

/** Folds records at positions 10, 20, 30 and so on. */
function fold (chain: readonly types.JournalRecord[], reading = programState.wholeStream) {
  let view: programState.ProgramView | undefined
  const effects: string[] = []
  for (const [index, record] of chain.entries()) {
    const step = programState.applyRecord(view, record, term((index + 1) * 10), reading)
    view = step.view
    effects.push(step.effect.type === 'void' ? step.effect.reason : step.effect.type)
  }
  return { state: programState.getCompleteState(view), effects }
}

tap.test('the history consists of the begin and its turns', async (t) => {
  const { state, effects } = fold([begin(), turn(2, 10, createTurn(1, 'k1')), turn(3, 10, createTurn(2, 'k2')), finish(4, 10)])
  t.same(effects, ['applied', 'applied', 'applied', 'applied'])
  t.match(state, { term: 10, n: 4, home: homeA, at: 1000, finished: 'done', isComplete: true })
  t.same(state!.turns.map(({ key, seq }) => [key, seq]), [['k1', 1], ['k2', 2]])
})

tap.test('the writer of the first of two begins is the home', async (t) => {
  const { state, effects } = fold([begin(homeA), begin(homeB), begin(homeA)])
  t.same(effects, ['applied', 'lostRace', 'duplicate'])
  t.match(state, { term: 10, home: homeA })
})

tap.test('the first of two claims wins and records of the older home are void', async (t) => {
  const chain = [begin(), claim(2, 10, homeB), claim(2, 10, records.processRef('c')), turn(2, 10, createTurn(1, 'k1')), turn(3, 20, createTurn(1, 'k1'))]
  const { state, effects } = fold(chain)
  t.same(effects, ['applied', 'applied', 'lostRace', 'olderTerm', 'applied'])
  t.match(state, { term: 20, home: homeB, n: 3 })
})

tap.test('a record takes effect only with the next sequence number and the current term', async (t) => {
  const { effects } = fold([begin(), turn(3, 10, createTurn(1, 'k1')), turn(2, 10, createTurn(1, 'k1')), turn(2, 10, createTurn(1, 'k1')), turn(3, 77, createTurn(2, 'k2'))])
  t.same(effects, ['applied', 'outOfOrder', 'applied', 'duplicate', 'unknownTerm'])
})

tap.test('the calls of a branch have no gaps and each key is used once', async (t) => {
  const other = { branch: 'agent-1' as types.BranchId }
  const { state, effects } = fold([
    begin(),
    turn(2, 10, createTurn(2, 'k2')),
    turn(3, 10, createTurn(1, 'k1')),
    turn(4, 10, createTurn(2, 'k1')),
    turn(5, 10, createTurn(1, 'k3', other)),
    turn(6, 10, createTurn(2, 'k2'))
  ])
  t.same(effects, ['applied', 'wrongSeq', 'applied', 'keyUsed', 'applied', 'applied'])
  t.equal(programState.getNextSeq(state!, mainBranch), 3)
  t.equal(programState.getNextSeq(state!, other.branch), 2)
  t.equal(programState.getNextSeq(state!, 'new' as types.BranchId), 1)
})

tap.test('an intent holds its sequence number until its turn is recorded', async (t) => {
  const { state, effects } = fold([
    begin(),
    intent(2, 10, 1, 'k1'),
    intent(3, 10, 1, 'k1'),
    intent(4, 10, 2, 'k2'),
    turn(5, 10, createTurn(2, 'k2')),
    turn(6, 10, createTurn(1, 'k1', { digest: 'another' })),
    turn(7, 10, createTurn(1, 'k1')),
    intent(8, 10, 2, 'k1')
  ])
  t.same(effects, ['applied', 'applied', 'keyUsed', 'intentOpen', 'intentOpen', 'intentMismatch', 'applied', 'keyUsed'])
  t.equal(programState.findIntent(state!, key('k1')), undefined)
  t.match(programState.findTurn(state!, key('k1')), { seq: 1 })
})

tap.test('a settle releases the sequence number and the reservation', async (t) => {
  const open = fold([begin(), intent(2, 10, 1, 'k1')]).state!
  t.equal(programState.getNextSeq(open, mainBranch), 2)
  t.same(programState.computeSpent(open), { tokens: 0, calls: 1, microCost: 100 })
  const { state, effects } = fold([begin(), intent(2, 10, 1, 'k1'), settle(3, 10, 'k1'), settle(4, 10, 'k1')])
  t.same(effects, ['applied', 'applied', 'applied', 'noIntent'])
  t.equal(programState.getNextSeq(state!, mainBranch), 1)
  t.same(programState.computeSpent(state!), { tokens: 0, calls: 0, microCost: 0 })
})

tap.test('no record takes effect after a finish', async (t) => {
  const { effects } = fold([begin(), finish(2, 10), turn(3, 10, createTurn(1, 'k1')), claim(3, 10), finish(2, 10), begin(homeB)])
  t.same(effects, ['applied', 'applied', 'finished', 'finished', 'duplicate', 'finished'])
})

tap.test('the remaining budget excludes reservations', async (t) => {
  const { state } = fold([begin(), turn(2, 10, createTurn(1, 'k1')), intent(3, 10, 2, 'k2')])
  const held = { tokens: 500, calls: 1, microCost: 0 }
  t.same(programState.computeRemaining(state!, held, 31_000 as types.EpochMs), { tokens: 490, calls: 7, microCost: 398, wallMs: 30_000 })
  t.same(programState.computeRemaining(state!, { tokens: 5000, calls: 99, microCost: 0 }, 99_000 as types.EpochMs),
    { tokens: 0, calls: 0, microCost: 398, wallMs: 0 })
})

tap.test('the conversation leaves out failed and service calls', async (t) => {
  const { state } = fold([
    begin(),
    turn(2, 10, createTurn(1, 'k1')),
    turn(3, 10, createTurn(2, 'k2', { outcome: { type: 'failed', verdict: 'ran', tag: 'timeout', message: 'late' } })),
    turn(4, 10, createTurn(3, 'k3', {
      target: { type: 'service', service: 's' as types.ServiceId, path: '/stock', body: {} },
      outcome: { type: 'service', status: 200, body: {} }
    })),
    turn(5, 10, createTurn(4, 'k4'))
  ])
  t.same(programState.collectMessages(state!, mainBranch).map(({ content }) => content), ['k1', 'answer to k1', 'k4', 'answer to k4'])
  t.equal(programState.createHistory(state!).turns.length, 4)
})

tap.test('a snapshot of a known program only starts a new term', async (t) => {
  const chain = [begin(), turn(2, 10, createTurn(1, 'k1')), intent(3, 10, 2, 'k2')]
  const before = programState.createSnapshot(fold(chain).state!)
  const { state, effects } = fold([...chain, records.snapshot(4, before), turn(5, 40, createTurn(2, 'k2'))])
  t.same(effects.slice(3), ['applied', 'applied'])
  t.match(state, { n: 5, term: 40 })
  t.equal(state!.turns.length, 2)
})

tap.test('a snapshot that differs from the state marks the program as incomplete', async (t) => {
  const before = programState.createSnapshot(fold([begin(), turn(2, 10, createTurn(1, 'k1'))]).state!)
  const { state, effects } = fold([begin(), turn(2, 10, createTurn(1, 'k9')), records.snapshot(3, before)])
  t.same(effects, ['applied', 'applied', 'incomplete'])
  t.equal(state, undefined)
})

tap.test('a reader that starts late trusts a snapshot once a record has its term', async (t) => {
  const late = { at: 0 as types.EpochMs, coveredSince: 0 as types.EpochMs, rules: programState.wholeStream.rules }
  const before = programState.createSnapshot(fold([begin(), turn(2, 10, createTurn(1, 'k1'))]).state!)
  const alone = fold([turn(2, 10, createTurn(1, 'k1')), records.snapshot(3, before)], late)
  t.same(alone, { state: undefined, effects: ['incomplete', 'incomplete'] })
  const confirmed = fold([turn(2, 10, createTurn(1, 'k1')), records.snapshot(3, before), turn(4, 20, createTurn(2, 'k2'))], late)
  t.same(confirmed.effects, ['incomplete', 'incomplete', 'applied'])
  t.same(confirmed.state!.turns.map(({ key }) => key), ['k1', 'k2'])
  t.same(programState.computeSpent(confirmed.state!), { tokens: 20, calls: 2, microCost: 4 })
})

tap.test('an id may be begun again after the reuse delay, and a stale begin is void', async (t) => {
  const rules = { idleTimeoutMs: 8000, reuseDelayMs: 4000 }
  const at = (ms: number): programState.ReadContext => ({ at: ms as types.EpochMs, coveredSince: undefined, rules })
  const later = { ...begin(homeB), at: 5500 as types.EpochMs }
  const first = programState.applyRecord(undefined, begin(), term(10), at(1000))
  const ended = programState.applyRecord(first.view, finish(2, 10), term(20), at(1500))
  t.match(programState.applyRecord(ended.view, begin(), term(30), at(5500)).effect, { reason: 'staleBegin' })
  t.match(programState.applyRecord(ended.view, later, term(40), at(5499)).effect, { reason: 'finished' })
  const again = programState.applyRecord(ended.view, later, term(50), at(5500))
  t.match(again.effect, { type: 'applied' })
  t.match(programState.getCompleteState(again.view), { term: 50, n: 1, home: homeB, finished: null })
})

tap.test('a snapshot of the state does not change with later records', async (t) => {
  const first = programState.applyRecord(undefined, begin(), term(10))
  const state = programState.getCompleteState(first.view)!
  const copy = programState.createSnapshot(state)
  programState.applyRecord(first.view, turn(2, 10, createTurn(1, 'k1')), term(20))
  t.equal(copy.turns.length, 0)
  t.equal(state.turns.length, 1)
})

tap.test('batches are parsed as they were encoded', async (t) => {
  const extra = { role: 'user', content: [{ type: 'text', text: 'é' }], name: 'coach', custom: { a: null } }
  const target: types.CallTarget = { type: 'model', model: 'm' as types.ModelId, messages: [extra], maxTokens: 5, options: { top_p: 0.5 } }
  const before = programState.createSnapshot(fold([begin(), turn(2, 10, createTurn(1, 'k1', { target })), intent(3, 10, 2, 'k2')]).state!)
  const batch = [begin(), claim(2, 10), intent(3, 20, 1, 'k1'), settle(4, 20, 'k1'), turn(5, 20, createTurn(1, 'k2', { target })), records.snapshot(6, before), finish(7, 60)]
  const parsed = programState.parseBatch(programState.encodeBatch(batch))
  t.same(parsed, { ok: true, value: { format: 1, records: batch } })
})

tap.test('the error for an invalid batch names the field', async (t) => {
  const encoded = JSON.parse(programState.encodeBatch([begin(), turn(2, 10, createTurn(1, 'k1'))]))
  const refused = (change: (batch: typeof encoded) => void) => {
    const batch = structuredClone(encoded)
    change(batch)
    const parsed = programState.parseBatch(JSON.stringify(batch))
    return parsed.ok ? undefined : { tag: parsed.failure.tag, field: parsed.failure.field }
  }
  t.same(refused((batch) => { batch.format = 2 }), { tag: 'unknownFormat', field: 'format' })
  t.same(refused((batch) => { delete batch.format }), { tag: 'notABatch', field: 'format' })
  t.same(refused((batch) => { batch.records[1].turn.seq = 0 }), { tag: 'brokenBatch', field: 'records.1.turn.seq' })
  t.same(refused((batch) => { delete batch.records[1].turn.usage.calls }), { tag: 'brokenBatch', field: 'records.1.turn.usage.calls' })
  t.same(refused((batch) => { batch.records[0].type = 'other' }), { tag: 'brokenBatch', field: 'records.0.type' })
  t.same(refused((batch) => { batch.records[0].start.program = 'p2' }), { tag: 'brokenBatch', field: 'records.0.start.program' })
  t.match(programState.parseBatch('{"format":1'), { ok: false, failure: { tag: 'notABatch', field: '' } })
})

tap.test('digests depend on everything but the order of members', async (t) => {
  const call = { branch: mainBranch, seq: 1, idempotent: true, target: records.modelTarget('hello') }
  const target = { options: {}, maxTokens: 50, messages: [{ content: 'hello', role: 'user' }], model: 'm' as types.ModelId, type: 'model' as const }
  const reordered = { target, idempotent: true, seq: 1, branch: mainBranch }
  t.equal(programState.computeRequestDigest(call), programState.computeRequestDigest(reordered))
  t.match(programState.computeRequestDigest(call), /^[0-9a-f]{64}$/)
  t.not(programState.computeRequestDigest(call), programState.computeRequestDigest({ ...call, seq: 2 }))
  t.not(programState.computeRequestDigest(call), programState.computeRequestDigest({ ...call, target: records.modelTarget('hullo') }))
})
