import tap from 'tap'
import * as silence from './silence.js'

tap.test('where first signs usually come soon, a silent upstream is left after half a second', (t) => {
  t.equal(silence.silentAfterMs({ objectiveMs: 250, usualMs: undefined }), 500)
  t.equal(silence.silentAfterMs({ objectiveMs: 250, usualMs: 30 }), 500)
  t.end()
})

tap.test('where all upstreams have too much to do, a slow one is waited for', (t) => {
  // First signs of a burst at full engines: 182 ms at the median, 603 ms for one in ten.
  t.ok(silence.silentAfterMs({ objectiveMs: 250, usualMs: 230 }) > 900)
  t.end()
})

tap.test('nothing is waited for beyond the patience of clients', (t) => {
  t.equal(silence.silentAfterMs({ objectiveMs: 5_000, usualMs: 3_000 }), 1_000)
  t.end()
})
