import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const delayMs = 1_500
const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: testUtils.smallPlan.hosts.map((one) => one.type === 'service' ? { ...one, settings: { delayMs } } : one)
})

/** Sends a call that runs for a while, and resolves once the service has it. */
async function callUnderWay (program: string): Promise<{ readonly home: string, readonly answer: Promise<recorders.Answer> }> {
  const home = await start(program)
  const answer = recorder.ask(recorders.serviceCall(program, 'k1', 1))
  await testUtils.eventually(() => recorder.executions(program, 'k1') === 1)
  return { home, answer }
}

// Guards against processes that a reload ends: entries and sidecars set no handler for SIGHUP.
tap.test('a reload cuts no request and ends no process', async (t) => {
  const { home, answer } = await callUnderWay('reload')
  const processes = [system.entries.get('entry-a')!.process, system.sidecars.get(home)!.process, system.sidecars.get('kit-a')!.process]
  for (const process of processes) process.signal('SIGHUP')
  t.match(await answer, { ok: true })
  for (const process of processes) t.ok(await testUtils.eventually(() => process.output().some((line) => line.includes('settings read again'))))
  t.match(await recorder.ask(recorders.modelCall('reload', 'k2', 2)), { ok: true })
})

// Guards against requests that are cut off by the second of two signals to end.
tap.test('signals in series cut no request', async (t) => {
  const { home, answer } = await callUnderWay('series')
  const processes = [system.entries.get('entry-a')!.process, system.sidecars.get(home)!.process]
  for (const process of processes) for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT'] as const) process.signal(signal)
  t.match(await answer, { ok: true })
  for (const process of processes) t.equal(await process.exited, 0)
})

shared.checkAtEnd(tap, recorder)
