import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: [
    ...['makati-a', 'makati-b', 'pasig-a'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine: { tokenMs: 5, prefillTokensPerSecond: null } })),
    { type: 'service', host: 'kit-a', availabilityZone: 'pasig-b', service: recorders.service }
  ]
})
const kit = system.services.get('kit-a')!

/** Programs in a row without the host as home, after which it is taken to be left out. */
const manyProbes = 30
let probes = 0

/** Ends a program as its caller does, so that it no longer counts as demand. */
async function finishEventually (program: string): Promise<void> {
  await testUtils.eventually(async () => (await recorder.caller(0).finish(program)).ok, 10_000)
}

/** Until entry 0 takes a host for the home of new programs, or no longer does. */
async function untilAsked (host: string, isAsked: boolean): Promise<void> {
  let inRow = 0
  await testUtils.eventually(async () => {
    const probe = `probe-${probes++}`
    const started = await recorder.caller(0).start(probe, { kind: recorders.kind })
    // A program that is never finished goes on counting as demand, and starts are refused in the end.
    await recorder.caller(0).finish(probe)
    const isHere = started.ok && started.value.home === host
    inRow = isHere === isAsked ? inRow + 1 : 0
    return inRow >= (isAsked ? 1 : manyProbes)
  }, 20_000)
}

/** Lists a living home where nothing listens until another one has taken a turn of each program, and puts it back unawares. */
async function takeTurnsElsewhere (home: string, calls: readonly recorders.CallRequest[]): Promise<readonly recorders.Answer[]> {
  const entry = (await (await fetch(`${system.hostList.address}/v1/hosts`)).json() as types.HostList).hosts.find(({ host }) => host === home)!
  system.hostList.setHost({ ...entry, address: await testUtils.refusingAddress() })
  await untilAsked(home, false)
  const answers = await Promise.all(calls.map((call) => recorder.askUntilWhole(call, 15_000)))
  system.hostList.setHost(entry)
  await untilAsked(home, true)
  return answers
}

/** Two programs with the same home, one turn each. */
async function startTwo (): Promise<{ readonly home: string, readonly programs: readonly [string, string] }> {
  const byHome = new Map<string, string>()
  for (let at = 0; ; at += 1) {
    const program = `missed-${at}`
    const home = await start(program)
    await recorder.ask(recorders.modelCall(program, 'k1', 1))
    const other = byHome.get(home)
    if (other !== undefined) return { home, programs: [other, program] }
    byHome.set(home, program)
  }
}

tap.test('a home that missed a takeover gives no shortened history and refuses no next call', async (t) => {
  const { home, programs: [first, second] } = await startTwo()
  const answers = await takeTurnsElsewhere(home, [recorders.modelCall(first, 'k2', 2), recorders.modelCall(second, 'k2', 2)])
  t.ok(answers.every((answer) => answer.ok))
  t.notOk(system.sidecars.get(home)!.process.output().some((line) => line.includes('released a program')), 'it was not asked to release them')
  const read = await recorder.caller(0).readHistory(first)
  t.same(read.ok && read.value.history.map((turn) => turn.key), ['k1', 'k2'])
  t.match(await recorder.ask(recorders.modelCall(second, 'k3', 3)), { ok: true })
  t.match(await recorder.ask(recorders.modelCall(second, 'k2', 2), 1), { ok: true, value: { trailer: { repeated: true } } })
})

tap.test('a paused process ends no other one', async (t) => {
  const paused = ['engine-0', 'engine-1']
  const ended: string[] = []
  const all = [...system.sidecars.values(), ...system.entries.values()]
  for (const { host, process } of all) void process.exited.then((code) => ended.push(`${host} ended with ${code}: ${process.output().slice(-12).join(' | ')}`))
  for (const [round, host] of paused.entries()) {
    const programs = await Promise.all(Array.from({ length: 12 }, async (_, at) => {
      const program = `pause-${round}-${at}`
      await start(program)
      return program
    }))
    const { process } = system.sidecars.get(host)!
    process.pause()
    const resuming = recorders.pause(3_500).then(() => process.resume())
    await Promise.all(programs.map((program, at) => recorder.askUntilWhole(recorders.modelCall(program, 'k1', 1, { timeoutMs: 4_000 }), 8_000, at % 2)))
    await resuming
    await Promise.all(programs.map((program) => finishEventually(program)))
  }
  t.same(ended, [])
})

shared.checkAtEnd(tap, recorder)
void kit
