import tap from 'tap'
import type * as errors from '@eelgrasswind/errors'
import * as logger from '@eelgrasswind/logger'
import * as programState from '@eelgrasswind/program-state'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import * as appendJournal from './index.js'
import * as records from './test-records.js'
import * as testLog from './test-log.js'

const p1 = records.programId('p1')
const p2 = records.programId('p2')
const homeA = records.processRef('a')
const homeB = records.processRef('b')
const stream = 'journal-0' as types.StreamName
const hourMs = 3_600_000

interface World {
  readonly timers: timerService.ManualTimers
  readonly log: testLog.TestLog
  readonly superseded: types.ProgramId[]
  readonly open: (more?: Partial<appendJournal.JournalOptions>) => Promise<appendJournal.Journal>
}

function createWorld (): World {
  const timers = timerService.createManualTimers(hourMs)
  const log = new testLog.TestLog({ timers, latencyMs: 1 })
  const superseded: types.ProgramId[] = []
  const base = { log, timers, logger: logger.createSilentLogger(), shards: 1, maxAppendsPerSecond: 100, maxBatchBytes: 10_000, patienceMs: 300, random: () => 0.5 }
  const open: World['open'] = (more) => appendJournal.createJournal({ ...base, onSuperseded: (program) => superseded.push(program), ...more })
  return { timers, log, superseded, open }
}

/** Lets time pass until a promise is settled. */
async function settled<T> ({ timers }: World, promise: Promise<T>): Promise<T> {
  const progress = { done: false }
  void promise.finally(() => { progress.done = true })
  for (let count = 0; count < 2000 && !progress.done; count += 1) await timers.advanceAsync(5)
  return await promise
}

function valueOf<T> (result: errors.Result<T>): T {
  if (!result.ok) throw new Error(`${result.failure.tag} ${result.failure.verdict}: ${result.failure.message}`)
  return result.value
}

async function beginAt (world: World, journal: appendJournal.Journal, program: types.ProgramId, home = homeA): Promise<types.Term> {
  return valueOf(await settled(world, journal.append(records.begin(program, home, world.timers.now())))).position
}

async function loaded (world: World, journal: appendJournal.Journal, program: types.ProgramId): Promise<programState.ProgramState> {
  const state = valueOf(await settled(world, journal.load(program)))
  if (state === undefined) throw new Error(`no ${program}`)
  return state
}

/** Appends turns of a program, one after the other. */
async function addTurns (world: World, journal: appendJournal.Journal, program: types.ProgramId, count: number, text = 'x'): Promise<void> {
  for (let made = 0; made < count; made += 1) {
    const { n, term, turns } = await loaded(world, journal, program)
    const turn = records.turn({ program, n: n + 1, term }, turns.length + 1, text)
    valueOf(await settled(world, journal.append(turn)))
  }
}

tap.test('a lone record goes at once and the next ones share an append', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const first = journal.append(records.begin(p1, homeA, world.timers.now()))
  const others = ['p2', 'p3', 'p4'].map((name) => journal.append(records.begin(records.programId(name), homeA, world.timers.now())))
  t.equal(journal.getCounters().appends, 1)
  for (const answer of [first, ...others]) t.match(await settled(world, answer), { ok: true, value: { applied: true } })
  t.match(journal.getCounters(), { appends: 2, records: 4, reads: 0 })
})

tap.test('appends keep to their rate', async (t) => {
  const world = createWorld()
  const journal = await world.open({ maxAppendsPerSecond: 10 })
  for (let made = 0; made < 100; made += 1) {
    void journal.append(records.begin(records.programId(`q${made}`), homeA, world.timers.now()))
    await world.timers.advanceAsync(20)
  }
  t.ok(journal.getCounters().appends >= 20 && journal.getCounters().appends <= 24, `${journal.getCounters().appends} appends in 2 s`)
})

tap.test('a head is as new as the question', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const early = journal.catchUp(0)
  await world.timers.advanceAsync(1)
  world.log.put(stream, programState.encodeBatch([records.begin(p1, homeA, world.timers.now())]))
  const head = journal.readHead(p1)
  valueOf(await settled(world, early))
  t.match(valueOf(await settled(world, head)), { n: 1, home: homeA })
})

tap.test('records of other writers are read before an effect is told', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  const term = await beginAt(world, a, p1)
  t.match(valueOf(await settled(world, b.readHead(p1))), { term, n: 1, home: homeA, finished: null })
  const place = { program: p1, n: 2, term }
  const won = valueOf(await settled(world, b.append(records.claim(place, homeB, 0))))
  t.match(won, { applied: true })
  t.match(await settled(world, a.append(records.turn(place, 1, 'x'))), { ok: true, value: { applied: false, effect: { type: 'void', reason: 'olderTerm' } } })
  t.same(world.superseded, [p1])
  t.match(valueOf(await settled(world, a.readHead(p1))), { term: won.position, home: homeB })
})

for (const fault of ['loseAnswer', 'lateCopy', 'stall', 'refuse'] as const) {
  tap.test(`a record takes effect once after ${fault}`, async (t) => {
    const world = createWorld()
    const journal = await world.open()
    const faults: testLog.AppendFault[] = [fault]
    world.log.appendFault = () => faults.shift() ?? 'none'
    t.match(await settled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: true, value: { applied: true } })
    await world.timers.advanceAsync(1000)
    t.equal(world.log.recordsOf(stream).length, fault === 'lateCopy' ? 2 : 1)
    t.match(valueOf(await settled(world, journal.readHead(p1))), { n: 1, home: homeA })
  })
}

tap.test('a record that the log refuses did not run, nor those behind it', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginAt(world, journal, p1)
  world.log.appendFault = () => 'refuse'
  const first = journal.append(records.turn({ program: p1, n: 2, term }, 1, 'x'))
  await world.timers.advanceAsync(150)
  const behind = journal.append(records.turn({ program: p1, n: 3, term }, 2, 'x'))
  t.match(await settled(world, first), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  world.log.appendFault = () => 'none'
  t.match(await settled(world, behind), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.equal(world.log.recordsOf(stream).length, 1)
  await addTurns(world, journal, p1, 2)
  t.equal((await loaded(world, journal, p1)).turns.length, 2)
})

tap.test('a record of unknown fate is settled by the same record alone', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginAt(world, journal, p1)
  const turn = records.turn({ program: p1, n: 2, term }, 1, 'x')
  world.log.appendFault = () => 'loseAnswer'
  world.log.readFails = () => true
  t.match(await settled(world, journal.append(turn)), { ok: false, failure: { tag: 'logUnavailable', verdict: 'mayHaveRun' } })
  await world.timers.advanceAsync(1000)
  t.equal(journal.isAvailable(), false)
  t.match(await settled(world, journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y'))), { failure: { tag: 'logUnavailable', verdict: 'notRun', message: /record 2 of .* other content/ } })
  world.log.appendFault = () => 'none'
  world.log.readFails = () => false
  await world.timers.advanceAsync(1000)
  t.equal(journal.isAvailable(), true)
  t.match(await settled(world, journal.append(turn)), { ok: true, value: { applied: true } })
  t.equal((await loaded(world, journal, p1)).turns.length, 1)
})

// Guards against a program that nobody can continue: the writer of the first record never asks for its fate again.
for (const fault of ['stall', 'loseAnswer'] as const) {
  tap.test(`a place whose record was given up after ${fault} is decided once another record wants it`, async (t) => {
    const world = createWorld()
    const journal = await world.open()
    const term = await beginAt(world, journal, p1)
    await loaded(world, journal, p1)
    const givenUp = records.turn({ program: p1, n: 2, term }, 1, 'x')
    world.log.appendFault = () => fault
    world.log.readFails = () => true
    t.match(await settled(world, journal.append(givenUp)), { ok: false, failure: { verdict: 'mayHaveRun' } })
    world.log.appendFault = () => 'none'
    world.log.readFails = () => false
    const refused = await settled(world, journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y')))
    t.match(refused, { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun', retryAfterMs: 1000 } })
    await world.timers.advanceAsync(1000)
    const { n, turns } = await loaded(world, journal, p1)
    t.same([n, turns.length], [2, 1])
    t.match(await settled(world, journal.append(records.turn({ program: p1, n: 3, term }, 2, 'y'))), { ok: true, value: { applied: true } })
    t.match(await settled(world, journal.append(givenUp)), { ok: true, value: { applied: true, effect: { type: 'applied' } } })
  })
}

tap.test('a writer that asks for its record while it is being sent again hears of the copy that took effect', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginAt(world, journal, p1)
  const givenUp = records.turn({ program: p1, n: 2, term }, 1, 'x')
  world.log.appendFault = () => 'stall'
  t.match(await settled(world, journal.append(givenUp)), { ok: false, failure: { verdict: 'mayHaveRun' } })
  const faults: testLog.AppendFault[] = ['loseAnswer']
  world.log.appendFault = () => faults.shift() ?? 'none'
  const refused = journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y'))
  await world.timers.advanceAsync(10)
  t.match(await settled(world, journal.append(givenUp)), { ok: true, value: { applied: true } })
  t.match(await refused, { ok: false, failure: { verdict: 'notRun' } })
  t.equal(world.log.recordsOf(stream).length, 2)
})

tap.test('a begin that landed too late to count does not keep the place of the next one', async (t) => {
  const world = createWorld()
  const journal = await world.open({ idReuseDelayMs: 400 })
  const faults: testLog.AppendFault[] = ['lateCopy']
  world.log.appendFault = () => faults.shift() ?? 'stall'
  t.match(await settled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: false, failure: { verdict: 'mayHaveRun' } })
  world.log.appendFault = () => 'none'
  await world.timers.advanceAsync(400)
  valueOf(await settled(world, journal.catchUp(0)))
  t.match(await settled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: true, value: { applied: true } })
})

tap.test('a program loads from its own log records', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginAt(world, a, p1)
  await beginAt(world, a, p2)
  for (let round = 0; round < 10; round += 1) {
    await addTurns(world, a, p1, 1)
    await addTurns(world, a, p2, 5, 'y'.repeat(1000))
  }
  valueOf(await settled(world, b.catchUp(0)))
  const before = b.getCounters().bytesRead
  const [state, same] = await settled(world, Promise.all([b.load(p1), b.load(p1)]))
  t.same(programState.createSnapshot(valueOf(state)!), programState.createSnapshot(await loaded(world, a, p1)))
  t.equal(valueOf(state), valueOf(same))
  t.ok(b.getCounters().bytesRead - before < 20_000, `${b.getCounters().bytesRead - before} bytes`)
  await addTurns(world, a, p1, 1)
  t.equal((await loaded(world, b, p1)).turns.length, 11)
  t.equal(valueOf(await settled(world, b.load(records.programId('none')))), undefined)
})

tap.test('a load takes in what is written meanwhile', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginAt(world, a, p1)
  await beginAt(world, a, p2)
  for (let round = 0; round < 10; round += 1) {
    await addTurns(world, a, p1, 1)
    await addTurns(world, a, p2, 5)
  }
  const { n, term } = await loaded(world, a, p1)
  valueOf(await settled(world, b.catchUp(0)))
  const loading = b.load(p1)
  await world.timers.advanceAsync(2)
  world.log.put(stream, programState.encodeBatch([records.turn({ program: p1, n: n + 1, term }, 11, 'x')]))
  void b.catchUp(0)
  const state = valueOf(await settled(world, loading))
  t.equal(state?.turns.length, 11)
})

tap.test('a reader that missed records that expired no longer trusts what it knew', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginAt(world, a, p1)
  t.match(valueOf(await settled(world, b.readHead(p1))), { n: 1 })
  await addTurns(world, a, p1, 3)
  world.log.expire(stream, 3)
  t.match(await settled(world, b.readHead(p1)), { ok: false, failure: { tag: 'historyIncomplete' } })
})

tap.test('an expired beginning is loud, and a confirmed snapshot stands for it', async (t) => {
  const world = createWorld()
  const a = await world.open()
  const term = await beginAt(world, a, p1)
  await beginAt(world, a, p2)
  const state = await loaded(world, a, p1)
  await addTurns(world, a, p1, 3)
  const snapshot = { program: p1, n: state.n + 1, term, type: 'snapshot' as const, state: programState.createSnapshot(state) }
  t.match(await settled(world, a.append(snapshot)), { ok: true, value: { applied: true } })
  valueOf(await settled(world, a.append(records.claim({ program: p1, n: state.n + 1, term: state.term }, homeA, 0))))
  t.same(world.superseded, [])
  await addTurns(world, a, p1, 2)
  await addTurns(world, a, p2, 1)
  world.log.expire(stream, 5)
  const late = await world.open()
  t.match(await settled(world, late.load(p2)), { ok: false, failure: { tag: 'historyIncomplete', verdict: 'notRun' } })
  t.same(programState.createSnapshot(await loaded(world, late, p1)), programState.createSnapshot(state))
  t.equal(state.turns.length, 5)
  await beginAt(world, late, records.programId('p3'))
  t.equal((await loaded(world, late, records.programId('p3'))).n, 1)
})

tap.test('a process reads no further back than the retention', async (t) => {
  const world = createWorld()
  const put = (name: string) => world.log.put(stream, programState.encodeBatch([records.begin(records.programId(name), homeA, world.timers.now())]))
  for (let made = 0; made < 1000; made += 1) put(`old-${made}`)
  world.timers.advance(2 * hourMs)
  for (let made = 0; made < 10; made += 1) put(`new-${made}`)
  const journal = await world.open({ retentionMs: hourMs })
  t.equal(valueOf(await settled(world, journal.readHead(records.programId('old-999')))), undefined)
  t.match(valueOf(await settled(world, journal.readHead(records.programId('new-0')))), { n: 1, term: types.positionOf(1000 as types.LogOffset, 0) })
  t.match(journal.getCounters(), { recordsFolded: 10 })
  t.ok(journal.getCounters().reads < 15, `${journal.getCounters().reads} reads`)
})

tap.test('a process that wrote from the first record on goes on from there', async (t) => {
  const world = createWorld()
  const journal = await world.open({ retentionMs: 2 * hourMs })
  await beginAt(world, journal, p1)
  for (let minutes = 0; minutes < 150; minutes += 50) {
    world.timers.advance(50 * 60_000)
    await beginAt(world, journal, records.programId(`q${minutes}`))
  }
  t.match(valueOf(await settled(world, journal.readHead(records.programId('q50')))), { n: 1 })
  t.same(world.superseded, [])
})

tap.test('local programs need a snapshot before half of the retention', async (t) => {
  const world = createWorld()
  const journal = await world.open({ retentionMs: 10 * hourMs })
  const begun = world.timers.now()
  await beginAt(world, journal, p1)
  await beginAt(world, journal, p2)
  const at = (hours: number) => begun + hours * hourMs as types.EpochMs
  t.same(journal.planSnapshots(at(3.9)), [])
  t.same(journal.planSnapshots(at(4.1)), [p1, p2])
  journal.release(p1)
  t.same(journal.planSnapshots(at(4.1)), [p2])
})

tap.test('finished programs are forgotten and their ids free again', async (t) => {
  const world = createWorld()
  const journal = await world.open({ idReuseDelayMs: hourMs })
  const term = await beginAt(world, journal, p1)
  valueOf(await settled(world, journal.append(records.finish({ program: p1, n: 2, term }))))
  t.match(await settled(world, journal.append(records.begin(p1, homeB, world.timers.now()))), { value: { applied: false, effect: { reason: 'finished' } } })
  world.timers.advance(hourMs)
  await beginAt(world, journal, p2)
  t.equal(valueOf(await settled(world, journal.readHead(p1))), undefined)
  t.match(await settled(world, journal.append(records.begin(p1, homeB, world.timers.now()))), { value: { applied: true } })
})

tap.test('a foreign text is skipped, another format stops the shard', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  world.log.put(stream, 'hello')
  await beginAt(world, journal, p1)
  t.equal(journal.getCounters().foreignTexts, 1)
  world.log.put(stream, '{"format":2,"records":[]}')
  t.match(await settled(world, journal.readHead(p1)), { ok: false, failure: { tag: 'internal', message: /offset 2/ } })
  const turn = records.turn({ program: p1, n: 2, term: 1 as types.Term }, 1, 'x')
  t.match(await settled(world, journal.append(turn)), { ok: false, failure: { tag: 'internal', verdict: 'notRun' } })
})

tap.test('a record that readers would refuse is not sent', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const wrong = { ...records.begin(p1, homeA, 0), n: 2 }
  t.match(await settled(world, journal.append(wrong)), { failure: { tag: 'invalidRequest', verdict: 'notRun', field: 'n' } })
  const large = records.turn({ program: p1, n: 2, term: 1 as types.Term }, 1, 'x'.repeat(6000))
  t.match(await settled(world, journal.append(large)), { failure: { tag: 'bodyTooLarge', verdict: 'notRun' } })
  t.equal(journal.getCounters().appends, 0)
})

tap.test('closing sends what is queued, and gives up after a bound', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  const answers = ['p1', 'p2'].map((name) => a.append(records.begin(records.programId(name), homeA, world.timers.now())))
  await settled(world, a.close())
  for (const answer of answers) t.match(await answer, { ok: true })
  t.match(await a.append(records.begin(p1, homeA, 0)), { failure: { tag: 'shuttingDown', verdict: 'notRun' } })
  world.log.appendFault = () => 'refuse'
  const stuck = b.append(records.begin(records.programId('p3'), homeB, world.timers.now()))
  await settled(world, b.close())
  t.match(await stuck, { ok: false, failure: { verdict: 'notRun' } })
})
