import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'

const ends: (() => unknown)[] = []
tap.teardown(async () => { for (const end of ends.reverse()) await end() })
const system = await testUtils.startSystem({ teardown: (run) => { ends.push(run) } }, testUtils.smallPlan)

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

tap.test('processes that start while the log resets every connection wait for it', async (t) => {
  await system.sidecars.get('kit-a')!.process.kill()
  await system.entries.get('entry-b')!.process.kill()
  system.log.faults.set({ type: 'reset' }, {})
  const sidecar = system.restartSidecar('kit-a')
  const entry = system.startEntry('entry-b', 'makati-b')
  await pause(2_500)
  system.log.faults.clear()
  t.ok((await sidecar).address)
  t.ok((await entry).address)
})
