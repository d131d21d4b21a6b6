import tap from 'tap'
import * as testUtils from '@eelgrasswind/test-utils'

const model = 'quote-8b'

function message (content: string) {
  return [{ role: 'user', content }]
}

tap.test('a program goes on with its whole history after its home was killed', async (t) => {
  const system = await testUtils.startSystem(t, testUtils.smallPlan)
  const first = system.caller(0)
  const second = system.caller(1)
  const started = await first.start('p1', { kind: 'roster-walk' })
  t.ok(started.ok)
  const one = await first.complete('p1', { model, messages: message('one'), maxTokens: 16 }, { key: 'k1', seq: 1 })
  t.ok(one.ok)
  const home = started.ok ? started.value.home : ''
  await system.sidecars.get(home)!.process.kill()
  const killedAt = performance.now()
  const two = await testUtils.eventually(async () => {
    const result = await second.complete('p1', { model, messages: message('two'), maxTokens: 16 }, { key: 'k2', seq: 2 })
    if (!result.ok) { t.comment(JSON.stringify(result.failure)); return undefined }
    return result
  }, 20_000)
  t.comment(`next turn ${Math.round(performance.now() - killedAt)} ms after the kill`)
  t.ok(two.ok)
  const read = await first.readHistory('p1')
  t.match(read, { ok: true })
  if (!read.ok) return
  t.same(read.value.history.map((turn) => `${turn.branch}/${turn.seq} ${turn.key}`), ['main/1 k1', 'main/2 k2'])
  t.not(read.value.program.home, home)
})
