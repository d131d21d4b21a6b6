import tap from 'tap'
import * as explainRequest from './explain-request.js'

function line (second: number, host: string, event: string, fields: object = {}): explainRequest.LogLine {
  return { time: `2026-06-01T08:00:${String(second).padStart(2, '0')}.000Z`, host, event, level: 30, msg: 'text', ...fields }
}

const lines = [
  line(1, 'front-1', 'routing', { version: 3 }),
  line(2, 'front-1', 'routing', { version: 4 }),
  line(2, 'front-2', 'storeAway', { topic: 'keyed.turns-0' }),
  line(3, 'front-3', 'routing', { version: 5 }),
  line(5, 'front-1', 'routed', { request: 'r1', version: 4 }),
  line(6, 'front-2', 'turnRefused', { request: 'r1', reason: 'the store does not answer' }),
  line(6, 'front-2', 'upstream', { upstream: 'u' }),
  line(7, 'front-1', 'ended', { request: 'r1', status: 503 }),
  line(7, 'front-1', 'ended', { request: 'r2', status: 200 }),
  line(9, 'front-1', 'storeAway', { topic: 'later' })
]

tap.test('the story has the request and what its processes believed', (t) => {
  const story = explainRequest.explainRequest([...lines].reverse(), 'r1')
  t.same(story.lines.map(({ host, event, about }) => `${host} ${event} ${about}`), [
    'front-1 routing belief',
    'front-2 storeAway belief',
    'front-1 routed request',
    'front-2 turnRefused request',
    'front-1 ended request'
  ])
  t.same(story.lines[0]?.fields, { version: 4 }, 'the newest word, without the fields that all lines have')
  t.equal(story.gaps, 0)
  t.end()
})

tap.test('lines that were left out show as gaps', (t) => {
  t.equal(explainRequest.explainRequest([...lines, line(6, 'front-2', 'linesLeftOut', { counts: {} })], 'r1').gaps, 1)
  t.end()
})

tap.test('an unknown request has no story', (t) => {
  t.same(explainRequest.explainRequest(lines, 'nobody').lines, [])
  t.end()
})

tap.test('text that is no log line is passed over', (t) => {
  t.equal(explainRequest.parseLine('warning: something'), undefined)
  t.equal(explainRequest.parseLine('{"cut'), undefined)
  t.equal(explainRequest.parseLine('{"a":1}'), undefined)
  t.equal(explainRequest.parseLine(`  37.01 front-1 ${JSON.stringify(lines[0])}`)?.event, 'routing')
  t.end()
})
