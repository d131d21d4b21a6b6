import tap from 'tap'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import * as checkAnswer from './check-answer.js'

const request = 'r1' as turnLedger.TurnId
const sound = { requestId: request, signed: true, notRun: false, wrongIncarnation: false }
const head = { status: 200, headers: {}, rawHeaders: [] }

tap.test('a signed answer to the request may be passed on, also an error', (t) => {
  t.equal(checkAnswer.checkAnswer(sound, head, request), undefined)
  t.equal(checkAnswer.checkAnswer(sound, { ...head, status: 500 }, request), undefined)
  t.end()
})

tap.test('a useless answer says what its upstream is like and whether the request may have run', (t) => {
  const cases = [
    [{ ...sound, requestId: 'r2' }, head, 'faulty', 'mayHaveRun'],
    [{ ...sound, requestId: undefined }, head, 'faulty', 'mayHaveRun'],
    [{ ...sound, signed: false }, head, 'faulty', 'mayHaveRun'],
    [sound, { ...head, headers: { 'content-encoding': 'gzip' } }, 'faulty', 'mayHaveRun'],
    [{ ...sound, signed: false, wrongIncarnation: true }, head, 'replaced', 'notRun'],
    [{ ...sound, signed: false, requestId: undefined, notRun: true }, { ...head, status: 503 }, 'full', 'notRun']
  ] as const
  for (const [facts, answer, says, verdict] of cases) t.match(checkAnswer.checkAnswer(facts, answer, request), { says, failure: { verdict } })
  t.end()
})
