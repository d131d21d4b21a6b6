import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'
import * as soak from './soak.js'

const { system, recorder, start } = await shared.startShared(tap, soak.soakPlan(testUtils.smallPlan))
const { log } = system

/** Every execution of a service call, at either host. */
function ran (program: string): number {
  return recorder.executions(program, 'k2')
}

function setServiceFault (fault: Parameters<typeof kitFaults[number]['set']>[0]): void {
  for (const faults of kitFaults) faults.set(fault, { times: 1 })
}

const kitFaults = [...system.services.values()].map((one) => one.faults)

async function begin (program: string): Promise<string> {
  const home = await start(program)
  await recorder.ask(recorders.modelCall(program, 'k1', 1))
  return home
}

const order = (program: string): recorders.CallRequest => recorders.serviceCall(program, 'k2', 2, { timeoutMs: 6_000 })

tap.test('home paused after its intent, another seals, the old one wakes', async (t) => {
  for (const delayMs of [0, 30]) {
    const program = `paused-${delayMs}`
    const home = await begin(program)
    const intents = (): number => Array.from({ length: 8 }, (_, at) => log.records(`journal-${at}`)).flat().filter(({ data }) => data.includes(`"${program}"`) && data.includes('"intent"')).length
    // The home has its intent in the log, and is paused while it waits for the answer or just after.
    log.faults.set({ type: 'slow', on: 'append', delayMs: 40 }, { times: 1 })
    const first = recorder.ask(order(program))
    await testUtils.eventually(() => intents() === 1)
    await recorders.pause(delayMs)
    const { process } = system.sidecars.get(home)!
    process.pause()
    const again = recorder.askUntilWhole(order(program), 10_000, 1)
    await recorders.pause(4_500)
    process.resume()
    const answers = await Promise.all([first, again])
    t.comment(answers.map((answer) => answer.ok ? 'whole' : `${answer.failure.code} ${answer.failure.verdict}`).join(', '))
    await recorders.pause(300)
    t.ok(ran(program) <= 1, `${delayMs}: ran ${ran(program)} times`)
    const end = await recorder.askUntilWhole(order(program), 10_000)
    t.ok(end.ok || end.failure.verdict !== 'notRun')
    t.ok(ran(program) <= 1)
  }
})

tap.test('answer of the service lost, asked again through the other entry', async (t) => {
  await begin('lost')
  setServiceFault({ type: 'loseAnswer' })
  const answers = [await recorder.ask(order('lost')), await recorder.ask(order('lost'), 1)]
  for (const faults of kitFaults) faults.clear()
  t.match(answers.map((answer) => answer.ok || answer.failure.verdict), ['mayHaveRun', 'mayHaveRun'])
  t.equal(ran('lost'), 1)
})

tap.test('answer of the log lost for the intent', async (t) => {
  await begin('intent')
  log.faults.set({ type: 'loseAnswer', on: 'append' }, { times: 1 })
  t.ok((await recorder.askUntilWhole(order('intent'), 10_000)).ok)
  t.equal(ran('intent'), 1)
})

tap.test('sidecar of the service killed while the call runs, and replaced', async (t) => {
  await begin('killed')
  setServiceFault({ type: 'delay', delayMs: 800 })
  const first = recorder.ask(order('killed'))
  await testUtils.eventually(() => ran('killed') === 1)
  const host = [...system.services].find(([, one]) => one.executions('killed/k2') === 1)![0]
  await system.sidecars.get(host)!.process.kill()
  for (const faults of kitFaults) faults.clear()
  const again = recorder.ask(order('killed'), 1)
  const restarting = system.restartSidecar(host)
  t.match((await Promise.all([first, again])).map((answer) => answer.ok || answer.failure.verdict), ['mayHaveRun', 'mayHaveRun'])
  await restarting
  t.match(await recorder.ask(order('killed')), { ok: false, failure: { verdict: 'mayHaveRun' } })
  t.equal(ran('killed'), 1)
})

shared.checkAtEnd(tap, recorder)
