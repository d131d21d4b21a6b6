import tap from 'tap'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import * as checkAnswer from './check-answer.js'

const request = { id: 'r1' as turnLedger.TurnId, isTurn: false }
const validFacts = { requestId: request.id, signed: true, notRun: false, wrongIncarnation: false }
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

// Guards against a promise that is not kept: a client repeats what was answered 503, and an upstream had run it.
tap.test('an upstream that ran a request can not refuse it with a status that promises otherwise', (t) => {
  const isRejected = (status: number, isTurn: boolean): boolean => checkAnswer.checkAnswer(validFacts, { ...head, status }, { ...request, isTurn }) !== undefined
  for (const status of [408, 421, 429, 503]) t.same([isRejected(status, false), isRejected(status, true)], [true, true], String(status))
  for (const status of [402, 404, 410]) t.same([isRejected(status, false), isRejected(status, true)], [false, true], String(status))
  for (const status of [200, 400, 401, 403, 409, 413, 422, 500, 502, 504]) t.same([isRejected(status, false), isRejected(status, true)], [false, false], String(status))
  t.match(checkAnswer.checkAnswer({ ...validFacts, wrongIncarnation: true }, { ...head, status: 421 }, request), { reason: 'faulty', failure: { verdict: 'mayHaveRun' } })
  t.end()
})
