import tap from 'tap'
import * as httpExchange from './http-exchange.js'
import * as httpFailure from './http-failure.js'

function rawHeaders (headers: Readonly<Record<string, string>>): Buffer[] {
  return Object.entries(headers).flat().map((text) => Buffer.from(text))
}

interface Started {
  readonly handler: httpExchange.ExchangeHandler
  readonly end: Promise<httpExchange.ExchangeOutcome>
  /** How often the exchange asked for the connection to be closed. */
  aborts: number
}

function start (req: Partial<httpExchange.ExchangeRequest> = {}): Started {
  const started = { aborts: 0 } as { -readonly [Name in keyof Started]: Started[Name] }
  started.end = httpExchange.runExchange({ requestId: 'r1', maxBytes: 10, ...req }, (handler) => { started.handler = handler })
  return started
}

function connect (started: Started): void {
  started.handler.onConnect(() => { started.aborts += 1 })
}

function answer (started: Started, status: number, requestId = 'r1'): void {
  started.handler.onHeaders(status, rawHeaders({ 'X-Request-Id': requestId }), () => {}, '')
}

tap.test('a request that is dispatched again is stopped', async (t) => {
  const started = start()
  connect(started)
  connect(started)
  t.equal(started.aborts, 1)
})

tap.test('an early answer by 1xx is no answer', async (t) => {
  const started = start()
  connect(started)
  answer(started, 103, 'another')
  answer(started, 200)
  started.handler.onData(Buffer.from('ok'))
  started.handler.onComplete(null)
  t.match(await started.end, { type: 'answered', status: 200, body: Buffer.from('ok') })
})

tap.test('bytes behind a whole answer close the connection', async (t) => {
  const started = start({ onData: () => true })
  connect(started)
  answer(started, 200)
  started.handler.onData(Buffer.from('all'))
  t.match(await started.end, { type: 'answered' })
  t.equal(started.aborts, 0)
  started.handler.onData(Buffer.from('more'))
  t.equal(started.aborts, 1)
})

tap.test('the verdict follows from how far the request got', async (t) => {
  const lost = new Error('lost')
  const unsent = start()
  unsent.handler.onError(lost)
  t.equal(httpExchange.getVerdict(await unsent.end as httpExchange.FailedOutcome), 'notRun')
  for (const [status, verdict] of [[undefined, 'mayHaveRun'], [500, 'mayHaveRun'], [200, 'ran']] as const) {
    const sent = start()
    connect(sent)
    if (status !== undefined) answer(sent, status)
    sent.handler.onError(lost)
    t.equal(httpExchange.getVerdict(await sent.end as httpExchange.FailedOutcome), verdict)
  }
})

tap.test('the time to come back is read in milliseconds or seconds', async (t) => {
  const cases = [
    [{ 'retry-after': '2' }, 2000],
    [{ 'Retry-After': '2', 'retry-after-ms': '150' }, 150],
    [{ 'retry-after-ms': '-1', 'retry-after': '3' }, 3000],
    [{ 'retry-after': 'Wed, 21 Oct 2026 07:28:00 GMT' }, httpFailure.defaultRetryAfterMs],
    [{}, httpFailure.defaultRetryAfterMs]
  ] as const
  for (const [headers, ms] of cases) t.equal(httpFailure.parseRetryAfterMs(rawHeaders(headers)), ms)
})
