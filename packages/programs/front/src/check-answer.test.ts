import tap from 'tap'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import * as checkAnswer from './check-answer.js'

const request = 'r1' as turnLedger.TurnId
const validFacts = { requestId: request, signed: true, notRun: false, wrongIncarnation: false }
const head = { status: 200, headers: {}, rawHeaders: [] }

tap.test('a signed answer to the request is accepted, even an error', (t) => {
  t.equal(checkAnswer.checkAnswer(validFacts, head, request), undefined)
  t.equal(checkAnswer.checkAnswer(validFacts, { ...head, status: 500 }, request), undefined)
  t.end()
})

tap.test('a rejection states what is wrong with the upstream and whether the request may have run', (t) => {
  const cases = [
    [{ ...validFacts, requestId: 'r2' }, head, 'faulty', 'mayHaveRun'],
    [{ ...validFacts, requestId: undefined }, head, 'faulty', 'mayHaveRun'],
    [{ ...validFacts, signed: false }, head, 'faulty', 'mayHaveRun'],
    [validFacts, { ...head, headers: { 'content-encoding': 'gzip' } }, 'faulty', 'mayHaveRun'],
    [{ ...validFacts, signed: false, wrongIncarnation: true }, head, 'replaced', 'notRun'],
    [{ ...validFacts, signed: false, requestId: undefined, notRun: true }, { ...head, status: 503 }, 'full', 'notRun']
  ] as const
  for (const [facts, answer, reason, verdict] of cases) t.match(checkAnswer.checkAnswer(facts, answer, request), { reason, failure: { verdict } })
  t.end()
})
