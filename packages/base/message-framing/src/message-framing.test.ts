import * as fc from 'fast-check'
import tap from 'tap'
import * as messageFraming from './index.js'

tap.test('the end of a body is marked by a length, the last chunk, or the connection', (t) => {
  const cases = [
    [{}, 'connection'],
    [{ contentLength: '0' }, 'length'],
    [{ transferEncoding: 'chunked' }, 'chunked'],
    [{ transferEncoding: 'gzip, Chunked ' }, 'chunked'],
    [{ transferEncoding: 'chunked, gzip' }, 'connection'],
    [{ transferEncoding: 'gzip', contentLength: '5' }, 'connection'],
    [{ status: 204 }, 'none'],
    [{ status: 304, contentLength: '5' }, 'none'],
    [{ method: 'HEAD', contentLength: '5' }, 'none']
  ] as const
  for (const [fields, expected] of cases) {
    const answer = { method: 'GET', status: 200, transferEncoding: undefined, contentLength: undefined, ...fields }
    t.equal(messageFraming.getBodyFraming(answer), expected, JSON.stringify(fields))
  }
  t.end()
})

tap.test('without a length or chunks a body is whole only if the connection was closed in order', (t) => {
  t.same((['open', 'orderly', 'reset'] as const).map((connection) => messageFraming.isWhole({ framing: 'connection', connection })), [false, true, false])
  for (const framing of ['none', 'length', 'chunked'] as const) t.ok(messageFraming.isWhole({ framing, connection: 'reset' }), framing)
  t.end()
})

tap.test('no part of a JSON text that shows its own end does so as well', (t) => {
  fc.assert(fc.property(fc.json().map((text) => text.trim()), (text) => {
    if (!messageFraming.isSelfDelimitingJson(text)) return typeof JSON.parse(text) === 'number'
    for (let length = 0; length < text.length; length += 1) {
      if (messageFraming.isSelfDelimitingJson(text.slice(0, length))) return false
    }
    return true
  }), { seed: 42, numRuns: 500 })
  t.end()
})
