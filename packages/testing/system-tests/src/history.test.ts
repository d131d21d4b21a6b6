import tap from 'tap'
import * as callerClient from '@eelgrasswind/caller-client'
import * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const slowEngine = { tokenMs: 10, prefillTokensPerSecond: null }
const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: [
    ...['makati-a', 'makati-b', 'pasig-a', 'pasig-b'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine: slowEngine })),
    { type: 'service', host: 'kit-a', availabilityZone: 'pasig-a', service: recorders.service }
  ]
})
const { log } = system
const kit = system.services.get('kit-a')!

interface Step {
  readonly name: string
  readonly call: (program: string, key: string) => recorders.CallRequest
  /** Brings the call to the step, and resolves when its home may be killed. */
  readonly hold: (program: string, key: string) => Promise<void>
}

const model = (program: string, key: string): recorders.CallRequest => recorders.modelCall(program, key, 2, { maxTokens: 48 })
const order = (program: string, key: string): recorders.CallRequest => recorders.serviceCall(program, key, 2)

async function ran (program: string, key: string): Promise<void> {
  await testUtils.eventually(() => recorder.executions(program, key) > 0)
}

const steps: readonly Step[] = [
  { name: 'a model call just sent', call: model, hold: async () => await recorders.pause(5) },
  { name: 'a model call that streams', call: model, hold: async (program, key) => { await ran(program, key); await recorders.pause(100) } },
  {
    name: 'a model answer whose record the log holds up',
    call: model,
    async hold (program, key) {
      log.faults.set({ type: 'stall', on: 'append' })
      await ran(program, key)
      await recorders.pause(900)
    }
  },
  {
    name: 'a model answer whose record is in the log, its answer lost',
    call: model,
    async hold (program, key) {
      log.faults.set({ type: 'loseAnswer', on: 'append' })
      await ran(program, key)
      await recorders.pause(800)
    }
  },
  {
    name: 'a model answer whose record lands after the takeover',
    call: model,
    async hold (program, key) {
      log.faults.set({ type: 'delayedAppend', on: 'append', afterAppends: 1 }, { times: 1 })
      log.faults.set({ type: 'stall', on: 'append' })
      await ran(program, key)
      await recorders.pause(800)
    }
  },
  {
    name: 'an intent that the log holds up',
    call: order,
    async hold () {
      log.faults.set({ type: 'stall', on: 'append' })
      await recorders.pause(200)
    }
  },
  {
    name: 'an intent in the log, its answer lost',
    call: order,
    async hold () {
      log.faults.set({ type: 'loseAnswer', on: 'append' }, { times: 1 })
      log.faults.set({ type: 'stall' })
      await recorders.pause(200)
    }
  },
  {
    name: 'a service call that runs',
    call: order,
    async hold (program, key) {
      kit.faults.set({ type: 'delay', delayMs: 600 }, { times: 1 })
      await ran(program, key)
    }
  },
  {
    name: 'a service answer whose record the log holds up',
    call: order,
    async hold (program, key) {
      kit.faults.set({ type: 'delay', delayMs: 200 }, { times: 1 })
      await ran(program, key)
      log.faults.set({ type: 'stall', on: 'append' })
      await recorders.pause(400)
    }
  }
]

/** Processes that are on their way back while the next test begins. */
const restarting = new Map<string, Promise<unknown>>()

steps.forEach((step, at) => {
  tap.test(`home killed at ${step.name}`, async (t) => {
    const program = `step-${at}`
    const home = await start(program)
    await restarting.get(home)
    t.ok((await recorder.ask(recorders.modelCall(program, 'k1', 1))).ok)
    const held = step.hold(program, 'k2')
    const first = recorder.ask(step.call(program, 'k2'))
    await held
    await system.sidecars.get(home)!.process.kill()
    const killedAt = performance.now()
    log.faults.clear()
    const answers = await Promise.all([first, recorder.askUntilWhole(step.call(program, 'k2'), 15_000, 1)])
    t.comment(`whole ${Math.round(performance.now() - killedAt)} ms after the kill, ran ${recorder.executions(program, 'k2')} times`)
    t.same(answers[1].ok ? [] : [answers[1].failure], [])
    t.ok((await recorder.askUntilWhole(recorders.modelCall(program, 'k3', 3), 15_000)).ok)
    const read = await recorder.caller(1).readHistory(program)
    t.same(read.ok ? read.value.history.map((turn) => turn.key) : read.failure, ['k1', 'k2', 'k3'])
    if (read.ok) recorder.checkHistory(program, read.value.history)
    t.same(recorder.violations, [])
    restarting.set(home, system.restartSidecar(home))
  })
})

tap.test('expired records: a clear failure, never a shortened history', async (t) => {
  await Promise.all(restarting.values())
  await start('expired')
  for (let seq = 1; seq <= 3; seq += 1) t.ok((await recorder.askUntilWhole(recorders.modelCall('expired', `k${seq}`, seq), 10_000)).ok)
  const stream = await testUtils.eventually(() => Array.from({ length: 8 }, (_, at) => `journal-${at}`).find((name) => log.records(name).some(({ data }) => data.includes('"expired"'))))
  const mine = log.records(stream).filter(({ data }) => data.includes('"expired"'))
  log.control({ type: 'expire', stream, before: mine[1]!.offset })
  // All of them: a host that was the program's home in between still has every record in memory, and answers rightly.
  const hosts = [...system.sidecars.keys()]
  await Promise.all(hosts.map((host) => system.sidecars.get(host)!.process.kill()))
  await Promise.all(hosts.map((host) => system.restartSidecar(host)))
  const answer = await testUtils.eventually(async () => {
    const next = await recorder.ask(recorders.modelCall('expired', 'k4', 4), 1)
    if (next.ok || next.failure.code === 'historyIncomplete') return next
    t.comment(JSON.stringify(next.failure))
    return undefined
  }, 15_000)
  t.match(answer, { ok: false, failure: { code: 'historyIncomplete', verdict: 'notRun', status: 410 } })
  // This entry may still know the former address of the home.
  const read = await testUtils.eventually(async () => {
    const found = await recorder.caller(0).readHistory('expired')
    return !found.ok && found.failure.code === 'peerUnavailable' ? undefined : found
  }, 15_000)
  t.match(read, { ok: false, failure: { code: 'historyIncomplete' } })
})

tap.test('programs with like and hostile ids keep their own histories', async (t) => {
  const ids = ['p', 'P', 'p.', 'p-', 'p..', 'p~', 'p.k1', 'constructor', 'toString', 'hasOwnProperty', '0', '00', 'x'.repeat(128), 'x'.repeat(127)]
  for (const id of ids) await start(id)
  await Promise.all(ids.map(async (id, at) => {
    for (let seq = 1; seq <= 3; seq += 1) {
      const call = seq === 2 ? recorders.serviceCall(id, 'k1.k', seq) : recorders.modelCall(id, `k${seq}`, seq)
      t.ok((await recorder.askUntilWhole(call, 10_000, at % 2)).ok)
    }
  }))
  for (const id of ids) {
    const read = await recorder.caller(0).readHistory(id)
    t.same(read.ok && read.value.history.map((turn) => turn.key), ['k1', 'k1.k', 'k3'])
    if (read.ok) recorder.checkHistory(id, read.value.history)
  }
  for (const id of ['p%2Fk1', '__proto__', '.', 'p%00', 'x'.repeat(129), 'p%0Aq']) {
    t.match(await recorder.caller(0).start(id, { kind: recorders.kind }), { ok: false, failure: { verdict: 'notRun' } })
  }
  t.same(recorder.violations, [])
})

tap.test('another client sees nothing of a program', async (t) => {
  const address = system.entries.get('entry-a')!.address
  const other = new callerClient.CallerClient({ address, token: shared.otherToken })
  t.teardown(() => other.close())
  t.match(await other.readHistory('p'), { ok: false, failure: { code: 'unknownProgram', verdict: 'notRun' } })
  t.match(await other.finish('p'), { ok: false, failure: { code: 'unknownProgram', verdict: 'notRun' } })
  t.match(await other.start('p', { kind: recorders.kind }), { ok: false, failure: { code: 'startConflict', verdict: 'notRun' } })
  t.match(await other.complete('p', { model: recorders.model, messages: [{ role: 'user', content: 'hello' }] }, { key: 'k4', seq: 4 }), { ok: false, failure: { code: 'unknownProgram', verdict: 'notRun' } })
  const read = await recorder.caller(0).readHistory('p')
  t.same(read.ok && read.value.history.map((turn: types.Turn) => turn.key), ['k1', 'k1.k', 'k3'])
})

shared.checkAtEnd(tap, recorder)
