import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

/** A lease of the rule `fixed` lasts ten seconds, a sweep follows within five, and its process is up within five. */
const boundMs = 20_000
const leaseMs = 10_000

const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: [
    ...['makati-a', 'makati-b', 'pasig-a'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine: { tokenMs: 2, prefillTokensPerSecond: null } })),
    { type: 'service', host: 'kit-a', availabilityZone: 'pasig-b', service: recorders.service }
  ],
  config: { limits: { holdRule: 'fixed' } }
})

function heldAt (host: string): readonly string[] {
  return system.engines.get(host)!.sessions().filter(({ held }) => held).map(({ session }) => session)
}

function held (prefix: string): readonly string[] {
  return [...system.engines.keys()].flatMap(heldAt).filter((session) => session.startsWith(prefix))
}

/** Starts programs and takes one turn of each; every prefix is then held. */
async function startHeld (prefix: string, count: number): Promise<ReadonlyMap<string, string>> {
  const homes = new Map<string, string>()
  for (let at = 0; at < count; at += 1) {
    const program = `${prefix}-${at}`
    homes.set(program, await start(program))
    await recorder.ask(recorders.modelCall(program, 'k1', 1), at % 2)
  }
  await testUtils.eventually(() => held(prefix).length === count)
  return homes
}

async function releasedMs (check: () => boolean): Promise<number> {
  const startedAt = performance.now()
  await testUtils.eventually(check, boundMs)
  return Math.round(performance.now() - startedAt)
}

tap.test('a finished program holds nothing, also when the log is down', async (t) => {
  await startHeld('done', 3)
  t.ok((await recorder.caller(0).finish('done-0')).ok)
  system.log.faults.set({ type: 'refuse' })
  t.match(await recorder.caller(1).finish('done-1'), { ok: false, failure: { code: 'logUnavailable' } })
  const ms = await releasedMs(() => !held('done').includes('done-0') && !held('done').includes('done-1'))
  t.comment(`released ${ms} ms after both were finished`)
  t.ok(ms < leaseMs / 2, 'not only as their leases ended')
  system.log.faults.clear()
  t.ok(held('done').includes('done-2'))
})

tap.test('a new run of a sidecar releases what nobody holds', async (t) => {
  await startHeld('run', 12)
  const host = [...system.engines.keys()].reduce((most, next) => heldAt(next).length > heldAt(most).length ? next : most)
  const before = heldAt(host).length
  await system.sidecars.get(host)!.process.kill()
  await recorders.pause(500)
  t.equal(heldAt(host).length, before)
  await system.restartSidecar(host)
  t.comment(`${before} sessions released ${await releasedMs(() => heldAt(host).length === 0)} ms after the sidecar was back`)
})

tap.test('home killed, callers gone: all held memory is released within the bound', async (t) => {
  const homes = await startHeld('gone', 12)
  const home = homes.get('gone-0')!
  await system.sidecars.get(home)!.process.kill()
  const restarting = system.restartSidecar(home)
  const ms = await releasedMs(() => held('gone').length === 0)
  t.comment(`12 sessions released ${ms} ms after their callers were last heard, their home or sidecar killed; the bound is ${boundMs} ms`)
  t.ok(ms < boundMs)
  await restarting
})

shared.checkAtEnd(tap, recorder)
