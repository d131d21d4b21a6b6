import tap from 'tap'
import * as manual from './manual-timers.js'
import * as timerService from './timer-service.js'

tap.test('runs timers in order of due time', async (t) => {
  const timers = manual.createManualTimers(0)
  const calls: string[] = []
  timers.after(20, () => calls.push('b'))
  timers.after(10, () => calls.push('a'))
  timers.after(20, () => calls.push('c'))
  timers.advance(20)
  t.same(calls, ['a', 'b', 'c'])
})

tap.test('cancelled timers do not run', async (t) => {
  const timers = manual.createManualTimers(0)
  let runs = 0
  const subscription = timers.every(10, () => { runs += 1 })
  timers.advance(35)
  subscription.cancel()
  timers.advance(100)
  t.equal(runs, 3)
  t.equal(timers.getNextDueMs(), undefined)
})

tap.test('withTimeout returns a result in time and cancels its timer, and undefined for a late one', async (t) => {
  const timers = manual.createManualTimers(0)
  t.equal(await timerService.withTimeout(timers, Promise.resolve('in time'), 10), 'in time')
  t.equal(timers.getNextDueMs(), undefined)
  const late = timerService.withTimeout(timers, timerService.sleep(timers, 20).then(() => 'late'), 10)
  await timers.advanceAsync(30)
  t.equal(await late, undefined)
  await t.rejects(timerService.withTimeout(timers, Promise.reject(new Error('failed')), 10), /failed/)
})
