import tap from 'tap'
import type * as explainRequest from '@eelgrasswind/explain-request'
import * as losses from './index.js'

function line (second: number, host: string, event: string, fields: object): explainRequest.LogLine {
  return { time: new Date(Date.UTC(2026, 5, 1, 8, 0, second)).toISOString(), host, event, ...fields }
}

const whole = (second: number, request: string, program: string): explainRequest.LogLine => line(second, 'front-1', 'ended', { request, program, kind: 'turn', outcome: 'whole', status: 200, tookMs: 90 })
const refused = (second: number, request: string, program: string): explainRequest.LogLine => line(second, 'front-1', 'ended', { request, program, kind: 'turn', outcome: 'refused', status: 503, reason: 'storeAway', tookMs: 10 })

function reportOf (...lines: readonly explainRequest.LogLine[]): losses.LossReport {
  const finder = new losses.LossFinder()
  for (const one of lines) finder.take(one)
  return finder.report()
}

tap.test('failed requests are summed by reason, with the programs that they ended', (t) => {
  const report = reportOf(
    whole(0, 'a1', 'a'),
    line(1, 'front-2', 'turnRefused', { request: 'a2', reason: 'the store does not answer' }),
    refused(1, 'a2', 'a'),
    whole(2, 'a3', 'a'),
    line(3, 'front-2', 'turnRefused', { request: 'b1', reason: 'the store does not answer' }),
    refused(3, 'b1', 'b')
  )
  t.match(report, { requests: 4, failed: 2, programs: 2, programsEnded: 1, unexplained: 0 })
  t.same(report.losses, [{ kind: 'turn', outcome: 'storeAway', status: 503, cause: 'turn refused: the store does not answer', requests: 2, programsEnded: 1, meanMs: 10, worstSecond: 1, worstHost: 'front-1', example: 'a2' }])
  t.end()
})

tap.test('a turn that was passed on counts once, for the reason that its owner gave', (t) => {
  const report = reportOf(
    line(0, 'front-2', 'sendFailed', { request: 'a1', failure: { tag: 'answerBroken', message: 'reset' } }),
    line(0, 'front-2', 'ended', { request: 'a1', kind: 'passedOnTurn', outcome: 'refused', status: 502, reason: 'answerLost', tookMs: 5 }),
    line(0, 'front-1', 'ended', { request: 'a1', program: 'a', kind: 'turn', outcome: 'whole', status: 502, tookMs: 7 })
  )
  t.match(report, { requests: 1, failed: 1, losses: [{ cause: 'send failed: answerBroken, reset', status: 502, worstHost: 'front-1' }] })
  t.end()
})

tap.test('a reason that comes after the end counts, a second later it does not', (t) => {
  const reason = (second: number): explainRequest.LogLine => line(second, 'front-2', 'turnRefused', { request: 'a1', reason: 'moving' })
  t.match(reportOf(refused(0, 'a1', 'a'), reason(0)).losses, [{ cause: 'turn refused: moving' }])
  t.match(reportOf(refused(0, 'a1', 'a'), whole(2, 'b1', 'b'), reason(2)).losses, [{ cause: 'no line tells' }])
  t.end()
})

tap.test('what no line explains is a row of its own, and lines left out are counted', (t) => {
  const report = reportOf(line(0, 'front-1', 'linesLeftOut', { counts: {} }), refused(0, 'a1', 'a'))
  t.match(report, { unexplained: 1, gaps: 1, losses: [{ cause: 'no line tells' }] })
  t.end()
})

tap.test('limits, keys and failures of an upstream itself are reasons', (t) => {
  const report = reportOf(
    line(0, 'front-1', 'overLimit', { request: 'a1', part: 'first', by: 'owner' }),
    line(0, 'front-1', 'ended', { request: 'a1', program: 'a', kind: 'turn', outcome: 'refused', reason: 'overLimit', status: 429, tookMs: 2 }),
    line(0, 'front-1', 'ended', { request: 'b1', program: 'b', kind: 'call', outcome: 'whole', status: 500, tookMs: 60 })
  )
  t.equal(report.unexplained, 0)
  t.same(report.losses.map(({ cause }) => cause), ['account over its limit: first requests, decided by the owner', 'the upstream answered so'])
  t.end()
})

tap.test('memory is bounded however many programs there are', (t) => {
  const finder = new losses.LossFinder()
  for (let at = 0; at < 120_000; at += 1) finder.take(refused(0, `r${at}`, `p${at}`))
  t.match(finder.report(), { programs: 120_000, programsEnded: 120_000 })
  t.end()
})
