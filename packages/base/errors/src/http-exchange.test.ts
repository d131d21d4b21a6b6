import tap from 'tap'
import * as httpExchange from './http-exchange.js'
import * as httpFailure from './http-failure.js'

function toRawHeaders (headers: Readonly<Record<string, string>>): Buffer[] {
  return Object.entries(headers).flat().map((text) => Buffer.from(text))
}

interface StartedExchange {
  readonly handler: httpExchange.ExchangeHandler
  readonly end: Promise<httpExchange.ExchangeOutcome>
  /** Number of times that the exchange closed the connection. */
  abortCount: number
}

function startExchange (req: Partial<httpExchange.ExchangeRequest> = {}): StartedExchange {
  const started = { abortCount: 0 } as { -readonly [Name in keyof StartedExchange]: StartedExchange[Name] }
  started.end = httpExchange.runExchange({ requestId: 'r1', maxBytes: 10, ...req }, (handler) => { started.handler = handler })
  return started
}

function connect (started: StartedExchange): void {
  started.handler.onConnect(() => { started.abortCount += 1 })
}

function sendHeaders (started: StartedExchange, status: number, requestId = 'r1', framing: Readonly<Record<string, string>> = { 'Content-Length': '2' }): void {
  started.handler.onHeaders(status, toRawHeaders({ 'X-Request-Id': requestId, ...framing }), () => {}, '')
}

tap.test('a request that is dispatched a second time is aborted', async (t) => {
  const started = startExchange()
  connect(started)
  connect(started)
  t.equal(started.abortCount, 1)
})

tap.test('a 1xx response is not taken for the answer', async (t) => {
  const started = startExchange()
  connect(started)
  sendHeaders(started, 103, 'another')
  sendHeaders(started, 200)
  started.handler.onData(Buffer.from('ok'))
  started.handler.onComplete(null)
  t.match(await started.end, { type: 'answered', status: 200, body: Buffer.from('ok') })
})

tap.test('data after a complete answer closes the connection', async (t) => {
  const started = startExchange({ onData: () => true })
  connect(started)
  sendHeaders(started, 200)
  started.handler.onData(Buffer.from('all'))
  t.match(await started.end, { type: 'answered' })
  t.equal(started.abortCount, 0)
  started.handler.onData(Buffer.from('more'))
  t.equal(started.abortCount, 1)
})

// Guards against a reset that was taken for the end of an answer: undici completes an answer without a length at every end of its connection.
tap.test('an answer without a length or chunks is complete only if its content or its status shows that', async (t) => {
  const cases = [
    [200, '', 'lost'],
    [200, '12', 'lost'],
    [200, '{"a":', 'lost'],
    [200, '{}', 'answered'],
    [404, '', 'lost'],
    [503, '', 'answered'],
    [500, 'text', 'answered']
  ] as const
  for (const [status, body, expected] of cases) {
    const started = startExchange()
    connect(started)
    sendHeaders(started, status, 'r1', {})
    if (body !== '') started.handler.onData(Buffer.from(body))
    started.handler.onComplete(null)
    t.match(await started.end, { type: expected, status }, `${status} ${body}`)
  }
  const chunked = startExchange()
  connect(chunked)
  sendHeaders(chunked, 200, 'r1', { 'Transfer-Encoding': 'chunked' })
  chunked.handler.onComplete(null)
  t.match(await chunked.end, { type: 'answered' })
})

tap.test('the verdict depends on how far the request got', async (t) => {
  const lost = new Error('lost')
  const unsent = startExchange()
  unsent.handler.onError(lost)
  t.equal(httpExchange.getVerdict(await unsent.end as httpExchange.FailedOutcome), 'notRun')
  for (const [status, verdict] of [[undefined, 'mayHaveRun'], [500, 'mayHaveRun'], [200, 'ran']] as const) {
    const sent = startExchange()
    connect(sent)
    if (status !== undefined) sendHeaders(sent, status)
    sent.handler.onError(lost)
    t.equal(httpExchange.getVerdict(await sent.end as httpExchange.FailedOutcome), verdict)
  }
})

tap.test('the retry-after time is read in milliseconds or seconds', async (t) => {
  const cases = [
    [{ 'retry-after': '2' }, 2000],
    [{ 'Retry-After': '2', 'retry-after-ms': '150' }, 150],
    [{ 'retry-after-ms': '-1', 'retry-after': '3' }, 3000],
    [{ 'retry-after': 'Wed, 21 Oct 2026 07:28:00 GMT' }, httpFailure.defaultRetryAfterMs],
    [{}, httpFailure.defaultRetryAfterMs]
  ] as const
  for (const [headers, expectedMs] of cases) t.equal(httpFailure.parseRetryAfterMs(toRawHeaders(headers)), expectedMs)
})
