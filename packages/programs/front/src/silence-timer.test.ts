import tap from 'tap'
import * as timerService from '@eelgrasswind/timer-service'
import * as silenceTimer from './silence-timer.js'

function fixture () {
  const timers = timerService.createManualTimers(0)
  const silences: string[] = []
  const timer = new silenceTimer.SilenceTimer(timers)
  const restart = (timeoutMs: number, name: string): void => { timer.restart(timeoutMs, () => { silences.push(`${name} at ${timers.monotonic()}`) }) }
  return { timers, silences, timer, restart }
}

tap.test('fires once, the timeout after the last restart', async (t) => {
  const { timers, silences, restart } = fixture()
  restart(100, 'head')
  timers.advance(60)
  restart(100, 'first')
  timers.advance(90)
  restart(100, 'second')
  timers.advance(99)
  t.same(silences, [])
  timers.advance(500)
  t.same(silences, ['second at 250'])
})

tap.test('a shorter timeout fires before the longer one that it replaces', async (t) => {
  const { timers, silences, restart } = fixture()
  restart(1_000, 'long')
  timers.advance(10)
  restart(50, 'short')
  timers.advance(2_000)
  t.same(silences, ['short at 60'])
})

tap.test('a longer timeout fires after the shorter one that it replaces', async (t) => {
  const { timers, silences, restart } = fixture()
  restart(50, 'short')
  restart(1_000, 'long')
  timers.advance(2_000)
  t.same(silences, ['long at 1000'])
})

tap.test('may be restarted when it fires', async (t) => {
  const { timers, silences, timer, restart } = fixture()
  timer.restart(100, () => { restart(100, 'again') })
  timers.advance(500)
  t.same(silences, ['again at 200'])
})

tap.test('does not fire once cancelled', async (t) => {
  const { timers, silences, timer, restart } = fixture()
  restart(100, 'head')
  restart(100, 'data')
  timer.cancel()
  timers.advance(500)
  t.same(silences, [])
  restart(100, 'later')
  timers.advance(500)
  t.same(silences, ['later at 600'])
})
