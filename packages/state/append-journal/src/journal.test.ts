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
  readonly open: (overrides?: Partial<appendJournal.JournalOptions>) => Promise<appendJournal.Journal>
}

function createWorld (): World {
  const timers = timerService.createManualTimers(hourMs)
  const log = new testLog.TestLog({ timers, latencyMs: 1 })
  const superseded: types.ProgramId[] = []
  const base = { log, timers, logger: logger.createSilentLogger(), shards: 1, maxAppendsPerSecond: 100, maxBatchBytes: 10_000, patienceMs: 300, random: () => 0.5 }
  const open: World['open'] = (overrides) => appendJournal.createJournal({ ...base, onSuperseded: (program) => superseded.push(program), ...overrides })
  return { timers, log, superseded, open }
}

/** Advances the timers until a promise is settled. */
async function runUntilSettled<T> ({ timers }: World, promise: Promise<T>): Promise<T> {
  const progress = { done: false }
  void promise.finally(() => { progress.done = true })
  for (let count = 0; count < 2000 && !progress.done; count += 1) await timers.advanceAsync(5)
  return await promise
}

function unwrap<T> (result: errors.Result<T>): T {
  if (!result.ok) throw new Error(`${result.failure.tag} ${result.failure.verdict}: ${result.failure.message}`)
  return result.value
}

async function beginProgram (world: World, journal: appendJournal.Journal, program: types.ProgramId, home = homeA): Promise<types.Term> {
  return unwrap(await runUntilSettled(world, journal.append(records.begin(program, home, world.timers.now())))).position
}

async function loadState (world: World, journal: appendJournal.Journal, program: types.ProgramId): Promise<programState.ProgramState> {
  const state = unwrap(await runUntilSettled(world, journal.load(program)))
  if (state === undefined) throw new Error(`no ${program}`)
  return state
}

/** Appends turns of a program one after another. */
async function addTurns (world: World, journal: appendJournal.Journal, program: types.ProgramId, count: number, text = 'x'): Promise<void> {
  for (let created = 0; created < count; created += 1) {
    const { n, term, turns } = await loadState(world, journal, program)
    const turn = records.turn({ program, n: n + 1, term }, turns.length + 1, text)
    unwrap(await runUntilSettled(world, journal.append(turn)))
  }
}

tap.test('the first record is sent immediately and the next ones share an append', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const first = journal.append(records.begin(p1, homeA, world.timers.now()))
  const others = ['p2', 'p3', 'p4'].map((name) => journal.append(records.begin(records.programId(name), homeA, world.timers.now())))
  t.equal(journal.getCounters().appends, 1)
  for (const answer of [first, ...others]) t.match(await runUntilSettled(world, answer), { ok: true, value: { applied: true } })
  t.match(journal.getCounters(), { appends: 2, records: 4, reads: 0 })
})

tap.test('appends do not exceed the rate limit', async (t) => {
  const world = createWorld()
  const journal = await world.open({ maxAppendsPerSecond: 10 })
  for (let created = 0; created < 100; created += 1) {
    void journal.append(records.begin(records.programId(`q${created}`), homeA, world.timers.now()))
    await world.timers.advanceAsync(20)
  }
  t.ok(journal.getCounters().appends >= 20 && journal.getCounters().appends <= 24, `${journal.getCounters().appends} appends in 2 s`)
})

tap.test('a head includes every record appended before it was requested', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const earlierCatchUp = journal.catchUp(0)
  await world.timers.advanceAsync(1)
  world.log.appendDirectly(stream, programState.encodeBatch([records.begin(p1, homeA, world.timers.now())]))
  const head = journal.readHead(p1)
  unwrap(await runUntilSettled(world, earlierCatchUp))
  t.match(unwrap(await runUntilSettled(world, head)), { n: 1, home: homeA })
})

tap.test('records of other writers are folded before an append reports its effect', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  const term = await beginProgram(world, a, p1)
  t.match(unwrap(await runUntilSettled(world, b.readHead(p1))), { term, n: 1, home: homeA, finished: null })
  const place = { program: p1, n: 2, term }
  const claimed = unwrap(await runUntilSettled(world, b.append(records.claim(place, homeB, 0))))
  t.match(claimed, { applied: true })
  t.match(await runUntilSettled(world, a.append(records.turn(place, 1, 'x'))), { ok: true, value: { applied: false, effect: { type: 'void', reason: 'olderTerm' } } })
  t.same(world.superseded, [p1])
  t.match(unwrap(await runUntilSettled(world, a.readHead(p1))), { term: claimed.position, home: homeB })
})

for (const fault of ['loseAnswer', 'lateCopy', 'stall', 'refuse'] as const) {
  tap.test(`a record takes effect once after ${fault}`, async (t) => {
    const world = createWorld()
    const journal = await world.open()
    const faults: testLog.AppendFault[] = [fault]
    world.log.nextAppendFault = () => faults.shift() ?? 'none'
    t.match(await runUntilSettled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: true, value: { applied: true } })
    await world.timers.advanceAsync(1000)
    t.equal(world.log.getRecords(stream).length, fault === 'lateCopy' ? 2 : 1)
    t.match(unwrap(await runUntilSettled(world, journal.readHead(p1))), { n: 1, home: homeA })
  })
}

tap.test('a record that the log refuses fails with notRun, and so do those queued behind it', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginProgram(world, journal, p1)
  world.log.nextAppendFault = () => 'refuse'
  const first = journal.append(records.turn({ program: p1, n: 2, term }, 1, 'x'))
  await world.timers.advanceAsync(150)
  const queuedBehind = journal.append(records.turn({ program: p1, n: 3, term }, 2, 'x'))
  t.match(await runUntilSettled(world, first), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  world.log.nextAppendFault = () => 'none'
  t.match(await runUntilSettled(world, queuedBehind), { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun' } })
  t.equal(world.log.getRecords(stream).length, 1)
  await addTurns(world, journal, p1, 2)
  t.equal((await loadState(world, journal, p1)).turns.length, 2)
})

tap.test('the outcome of a record that may be in the log is returned for the same record only', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginProgram(world, journal, p1)
  const turn = records.turn({ program: p1, n: 2, term }, 1, 'x')
  world.log.nextAppendFault = () => 'loseAnswer'
  world.log.shouldFailRead = () => true
  t.match(await runUntilSettled(world, journal.append(turn)), { ok: false, failure: { tag: 'logUnavailable', verdict: 'mayHaveRun' } })
  await world.timers.advanceAsync(1000)
  t.equal(journal.isAvailable(), false)
  t.match(await runUntilSettled(world, journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y'))), { failure: { tag: 'logUnavailable', verdict: 'notRun', message: /record 2 of .* other content/ } })
  world.log.nextAppendFault = () => 'none'
  world.log.shouldFailRead = () => false
  await world.timers.advanceAsync(1000)
  t.equal(journal.isAvailable(), true)
  t.match(await runUntilSettled(world, journal.append(turn)), { ok: true, value: { applied: true } })
  t.equal((await loadState(world, journal, p1)).turns.length, 1)
})

// Guards against a program that nobody can continue, because the writer of a failed record never appends it again and so
// its sequence number stays blocked.
for (const fault of ['stall', 'loseAnswer'] as const) {
  tap.test(`a sequence number whose record failed after ${fault} is decided once another record needs it`, async (t) => {
    const world = createWorld()
    const journal = await world.open()
    const term = await beginProgram(world, journal, p1)
    await loadState(world, journal, p1)
    const failedRecord = records.turn({ program: p1, n: 2, term }, 1, 'x')
    world.log.nextAppendFault = () => fault
    world.log.shouldFailRead = () => true
    t.match(await runUntilSettled(world, journal.append(failedRecord)), { ok: false, failure: { verdict: 'mayHaveRun' } })
    world.log.nextAppendFault = () => 'none'
    world.log.shouldFailRead = () => false
    const refused = await runUntilSettled(world, journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y')))
    t.match(refused, { ok: false, failure: { tag: 'logUnavailable', verdict: 'notRun', retryAfterMs: 1000 } })
    await world.timers.advanceAsync(1000)
    const { n, turns } = await loadState(world, journal, p1)
    t.same([n, turns.length], [2, 1])
    t.match(await runUntilSettled(world, journal.append(records.turn({ program: p1, n: 3, term }, 2, 'y'))), { ok: true, value: { applied: true } })
    t.match(await runUntilSettled(world, journal.append(failedRecord)), { ok: true, value: { applied: true, effect: { type: 'applied' } } })
  })
}

tap.test('a writer that retries its record while it is being sent again gets the outcome of the copy that took effect', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const term = await beginProgram(world, journal, p1)
  const failedRecord = records.turn({ program: p1, n: 2, term }, 1, 'x')
  world.log.nextAppendFault = () => 'stall'
  t.match(await runUntilSettled(world, journal.append(failedRecord)), { ok: false, failure: { verdict: 'mayHaveRun' } })
  const faults: testLog.AppendFault[] = ['loseAnswer']
  world.log.nextAppendFault = () => faults.shift() ?? 'none'
  const refused = journal.append(records.turn({ program: p1, n: 2, term }, 1, 'y'))
  await world.timers.advanceAsync(10)
  t.match(await runUntilSettled(world, journal.append(failedRecord)), { ok: true, value: { applied: true } })
  t.match(await refused, { ok: false, failure: { verdict: 'notRun' } })
  t.equal(world.log.getRecords(stream).length, 2)
})

tap.test('a begin that was appended too late to take effect does not block the next one', async (t) => {
  const world = createWorld()
  const journal = await world.open({ idReuseDelayMs: 400 })
  const faults: testLog.AppendFault[] = ['lateCopy']
  world.log.nextAppendFault = () => faults.shift() ?? 'stall'
  t.match(await runUntilSettled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: false, failure: { verdict: 'mayHaveRun' } })
  world.log.nextAppendFault = () => 'none'
  await world.timers.advanceAsync(400)
  unwrap(await runUntilSettled(world, journal.catchUp(0)))
  t.match(await runUntilSettled(world, journal.append(records.begin(p1, homeA, world.timers.now()))), { ok: true, value: { applied: true } })
})

tap.test('loading a program reads little more than its own log records', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginProgram(world, a, p1)
  await beginProgram(world, a, p2)
  for (let round = 0; round < 10; round += 1) {
    await addTurns(world, a, p1, 1)
    await addTurns(world, a, p2, 5, 'y'.repeat(1000))
  }
  unwrap(await runUntilSettled(world, b.catchUp(0)))
  const before = b.getCounters().bytesRead
  const [state, same] = await runUntilSettled(world, Promise.all([b.load(p1), b.load(p1)]))
  t.same(programState.createSnapshot(unwrap(state)!), programState.createSnapshot(await loadState(world, a, p1)))
  t.equal(unwrap(state), unwrap(same))
  t.ok(b.getCounters().bytesRead - before < 20_000, `${b.getCounters().bytesRead - before} bytes`)
  await addTurns(world, a, p1, 1)
  t.equal((await loadState(world, b, p1)).turns.length, 11)
  t.equal(unwrap(await runUntilSettled(world, b.load(records.programId('none')))), undefined)
})

tap.test('a load includes records appended while it runs', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginProgram(world, a, p1)
  await beginProgram(world, a, p2)
  for (let round = 0; round < 10; round += 1) {
    await addTurns(world, a, p1, 1)
    await addTurns(world, a, p2, 5)
  }
  const { n, term } = await loadState(world, a, p1)
  unwrap(await runUntilSettled(world, b.catchUp(0)))
  const loading = b.load(p1)
  await world.timers.advanceAsync(2)
  world.log.appendDirectly(stream, programState.encodeBatch([records.turn({ program: p1, n: n + 1, term }, 11, 'x')]))
  void b.catchUp(0)
  const state = unwrap(await runUntilSettled(world, loading))
  t.equal(state?.turns.length, 11)
})

tap.test('a reader that missed expired records discards what it knew', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  await beginProgram(world, a, p1)
  t.match(unwrap(await runUntilSettled(world, b.readHead(p1))), { n: 1 })
  await addTurns(world, a, p1, 3)
  world.log.expire(stream, 3)
  t.match(await runUntilSettled(world, b.readHead(p1)), { ok: false, failure: { tag: 'historyIncomplete' } })
})

tap.test('loading a program whose begin has expired fails unless a confirmed snapshot replaces it', async (t) => {
  const world = createWorld()
  const a = await world.open()
  const term = await beginProgram(world, a, p1)
  await beginProgram(world, a, p2)
  const state = await loadState(world, a, p1)
  await addTurns(world, a, p1, 3)
  const snapshot = { program: p1, n: state.n + 1, term, type: 'snapshot' as const, state: programState.createSnapshot(state) }
  t.match(await runUntilSettled(world, a.append(snapshot)), { ok: true, value: { applied: true } })
  unwrap(await runUntilSettled(world, a.append(records.claim({ program: p1, n: state.n + 1, term: state.term }, homeA, 0))))
  t.same(world.superseded, [])
  await addTurns(world, a, p1, 2)
  await addTurns(world, a, p2, 1)
  world.log.expire(stream, 5)
  const late = await world.open()
  t.match(await runUntilSettled(world, late.load(p2)), { ok: false, failure: { tag: 'historyIncomplete', verdict: 'notRun' } })
  t.same(programState.createSnapshot(await loadState(world, late, p1)), programState.createSnapshot(state))
  t.equal(state.turns.length, 5)
  await beginProgram(world, late, records.programId('p3'))
  t.equal((await loadState(world, late, records.programId('p3'))).n, 1)
})

tap.test('a process reads no further back than the retention', async (t) => {
  const world = createWorld()
  const put = (name: string) => world.log.appendDirectly(stream, programState.encodeBatch([records.begin(records.programId(name), homeA, world.timers.now())]))
  for (let created = 0; created < 1000; created += 1) put(`old-${created}`)
  world.timers.advance(2 * hourMs)
  for (let created = 0; created < 10; created += 1) put(`new-${created}`)
  const journal = await world.open({ retentionMs: hourMs })
  t.equal(unwrap(await runUntilSettled(world, journal.readHead(records.programId('old-999')))), undefined)
  t.match(unwrap(await runUntilSettled(world, journal.readHead(records.programId('new-0')))), { n: 1, term: types.toPosition(1000 as types.LogOffset, 0) })
  t.match(journal.getCounters(), { recordsFolded: 10 })
  t.ok(journal.getCounters().reads < 15, `${journal.getCounters().reads} reads`)
})

tap.test('a process that has folded the stream from its first record does not skip records later', async (t) => {
  const world = createWorld()
  const journal = await world.open({ retentionMs: 2 * hourMs })
  await beginProgram(world, journal, p1)
  for (let minutes = 0; minutes < 150; minutes += 50) {
    world.timers.advance(50 * 60_000)
    await beginProgram(world, journal, records.programId(`q${minutes}`))
  }
  t.match(unwrap(await runUntilSettled(world, journal.readHead(records.programId('q50')))), { n: 1 })
  t.same(world.superseded, [])
})

tap.test('snapshots of local programs are due before half of the retention', async (t) => {
  const world = createWorld()
  const journal = await world.open({ retentionMs: 10 * hourMs })
  const begun = world.timers.now()
  await beginProgram(world, journal, p1)
  await beginProgram(world, journal, p2)
  const at = (hours: number) => begun + hours * hourMs as types.EpochMs
  t.same(journal.planSnapshots(at(3.9)), [])
  t.same(journal.planSnapshots(at(4.1)), [p1, p2])
  journal.release(p1)
  t.same(journal.planSnapshots(at(4.1)), [p2])
})

tap.test('finished programs are dropped and their ids can be reused', async (t) => {
  const world = createWorld()
  const journal = await world.open({ idReuseDelayMs: hourMs })
  const term = await beginProgram(world, journal, p1)
  unwrap(await runUntilSettled(world, journal.append(records.finish({ program: p1, n: 2, term }))))
  t.match(await runUntilSettled(world, journal.append(records.begin(p1, homeB, world.timers.now()))), { value: { applied: false, effect: { reason: 'finished' } } })
  world.timers.advance(hourMs)
  await beginProgram(world, journal, p2)
  t.equal(unwrap(await runUntilSettled(world, journal.readHead(p1))), undefined)
  t.match(await runUntilSettled(world, journal.append(records.begin(p1, homeB, world.timers.now()))), { value: { applied: true } })
})

tap.test('text that is not a batch is skipped, and a batch of another format blocks the shard', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  world.log.appendDirectly(stream, 'hello')
  await beginProgram(world, journal, p1)
  t.equal(journal.getCounters().foreignTexts, 1)
  world.log.appendDirectly(stream, '{"format":2,"records":[]}')
  t.match(await runUntilSettled(world, journal.readHead(p1)), { ok: false, failure: { tag: 'internal', message: /offset 2/ } })
  const turn = records.turn({ program: p1, n: 2, term: 1 as types.Term }, 1, 'x')
  t.match(await runUntilSettled(world, journal.append(turn)), { ok: false, failure: { tag: 'internal', verdict: 'notRun' } })
})

tap.test('a record that readers would reject is not sent', async (t) => {
  const world = createWorld()
  const journal = await world.open()
  const wrong = { ...records.begin(p1, homeA, 0), n: 2 }
  t.match(await runUntilSettled(world, journal.append(wrong)), { failure: { tag: 'invalidRequest', verdict: 'notRun', field: 'n' } })
  const large = records.turn({ program: p1, n: 2, term: 1 as types.Term }, 1, 'x'.repeat(6000))
  t.match(await runUntilSettled(world, journal.append(large)), { failure: { tag: 'bodyTooLarge', verdict: 'notRun' } })
  t.equal(journal.getCounters().appends, 0)
})

tap.test('close sends queued records and fails the rest after a timeout', async (t) => {
  const world = createWorld()
  const [a, b] = [await world.open(), await world.open()]
  const answers = ['p1', 'p2'].map((name) => a.append(records.begin(records.programId(name), homeA, world.timers.now())))
  await runUntilSettled(world, a.close())
  for (const answer of answers) t.match(await answer, { ok: true })
  t.match(await a.append(records.begin(p1, homeA, 0)), { failure: { tag: 'shuttingDown', verdict: 'notRun' } })
  world.log.nextAppendFault = () => 'refuse'
  const failedAppend = b.append(records.begin(records.programId('p3'), homeB, world.timers.now()))
  await runUntilSettled(world, b.close())
  t.match(await failedAppend, { ok: false, failure: { verdict: 'notRun' } })
})
