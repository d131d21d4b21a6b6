import tap from 'tap'
import * as manual from './manual-timers.js'

tap.test('runs timers in order of due time', async (t) => {
  const timers = manual.createManualTimers(0)
  const seen: string[] = []
  timers.after(20, () => seen.push('b'))
  timers.after(10, () => seen.push('a'))
  timers.after(20, () => seen.push('c'))
  timers.advance(20)
  t.same(seen, ['a', 'b', 'c'])
})

tap.test('cancelled timers do not run', async (t) => {
  const timers = manual.createManualTimers(0)
  let runs = 0
  const sub = timers.every(10, () => { runs += 1 })
  timers.advance(35)
  sub.cancel()
  timers.advance(100)
  t.equal(runs, 3)
  t.equal(timers.nextDue(), undefined)
})
