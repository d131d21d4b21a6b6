import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as recentMaximum from './recent-maximum.js'

// Guards against a share of a limit that grows while other hosts are cut off and still use theirs.
tap.test('a lower value counts only once the higher one is old', (t) => {
  const timers = timerService.createManualTimers()
  const maximum = new recentMaximum.RecentMaximum(1_000, timers)
  t.equal(maximum.update(31), 31)
  timers.advance(999)
  t.equal(maximum.update(5), 31)
  timers.advance(900)
  t.equal(maximum.update(5), 31)
  timers.advance(1_200)
  t.equal(maximum.update(5), 5)
  t.equal(maximum.update(9), 9)
  t.end()
})

tap.test('values older than two periods do not count', (t) => {
  const timers = timerService.createManualTimers()
  const maximum = new recentMaximum.RecentMaximum(1_000, timers)
  maximum.update(31)
  timers.advance(5_000)
  t.equal(maximum.update(4), 4)
  t.end()
})
