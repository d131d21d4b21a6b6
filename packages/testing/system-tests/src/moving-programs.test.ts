import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

const tokenMs = 500
const { system, recorder, start } = await shared.startShared(tap, {
  ...testUtils.smallPlan,
  hosts: [
    ...['makati-a', 'makati-b', 'pasig-a'].map((availabilityZone, at) => ({ type: 'engine' as const, host: `engine-${at}`, availabilityZone, engine: { tokenMs, prefillTokensPerSecond: null } })),
    { type: 'service', host: 'kit-a', availabilityZone: 'pasig-b', service: recorders.service }
  ]
})

/** Calls that run for most of their timeout, so that there is no time to run one twice. */
const longTokens = 64
const longTimeoutMs = 26_000

async function readHome (program: string): Promise<string | undefined> {
  const read = await recorder.caller(0).read(program)
  return read.ok ? read.value.home : undefined
}

/** Until entry 0 takes a host for live again. */
async function untilEntryKnowsLive (host: string): Promise<void> {
  const { address } = system.sidecars.get(host)!
  const { process } = system.entries.get('entry-a')!
  await testUtils.eventually(() => process.output().some((line) => line.includes('hosts changed') && line.includes(`{"host":"${host}","state":"live","address":"${address}"`)))
}

// Guards against calls that are cut off or run twice: a host that returned took a program from its home while a call ran there.
tap.test('a call that runs while the first choice of its program returns is answered whole and runs once', async (t) => {
  const program = 'returning'
  const first = await start(program)
  await recorder.askUntilWhole(recorders.modelCall(program, 'k1', 1, { maxTokens: 2 }), 10_000)
  t.equal(await system.sidecars.get(first)!.process.stop(), 0)
  t.match(await recorder.askUntilWhole(recorders.modelCall(program, 'k2', 2, { maxTokens: 2 }), 10_000), { ok: true })
  const second = await readHome(program)
  t.not(second, first)
  const long = recorder.ask(recorders.modelCall(program, 'long', 3, { maxTokens: longTokens, timeoutMs: longTimeoutMs }))
  await system.restartSidecar(first)
  await untilEntryKnowsLive(first)
  const side = recorder.askUntilWhole(recorders.modelCall(program, 'side', 1, { branch: 'side', maxTokens: 2 }), 30_000)
  const answer = await long
  t.match(answer, { ok: true }, JSON.stringify(answer.ok ? answer.value.totalMs : answer.failure))
  t.match(await side, { ok: true })
  t.equal(recorder.executions(program, 'long'), 1)
  t.comment(`home ${first}, then ${second}, now ${await readHome(program)}`)
})

tap.test('a call that runs while its home is taken out of the host list is answered whole and runs once', async (t) => {
  const program = 'unlisted'
  const home = await start(program)
  const long = recorder.ask(recorders.modelCall(program, 'long', 1, { maxTokens: longTokens, timeoutMs: longTimeoutMs }))
  await recorders.pause(1_000)
  system.hostList.removeHost(home)
  await recorders.pause(4_000)
  const side = recorder.askUntilWhole(recorders.modelCall(program, 'side', 1, { branch: 'side', maxTokens: 2 }), 30_000)
  const answer = await long
  t.match(answer, { ok: true }, JSON.stringify(answer.ok ? answer.value.totalMs : answer.failure))
  t.match(await side, { ok: true })
  t.equal(recorder.executions(program, 'long'), 1)
  t.comment(`home ${home}, now ${await readHome(program)}`)
})

shared.checkAtEnd(tap, recorder)
