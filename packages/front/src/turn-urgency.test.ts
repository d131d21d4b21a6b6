import tap from 'tap'
import * as turnUrgency from './turn-urgency.js'

tap.test('programs under way go before those that begin, and those that are late anyway go last', (t) => {
  const underWay = turnUrgency.turnUrgency({ first: false, finishMs: 800 })
  const starting = turnUrgency.turnUrgency({ first: true, finishMs: 2_000 })
  const late = turnUrgency.turnUrgency({ first: false, finishMs: 0 })
  t.ok(underWay < starting && starting < late)
  t.equal(turnUrgency.turnUrgency({ first: false, finishMs: undefined }), underWay)
  t.equal(turnUrgency.turnUrgency({ first: true, finishMs: 10 }), late)
  t.end()
})
