import * as fc from 'fast-check'
import tap from 'tap'
import * as eventSplitter from './event-splitter.js'

const piece = fc.constantFrom('id: 7', 'data: a', 'data:b', ': alive', 'event: x', '\n', '\r\n', '\n\n', '\r', ' ')
const text = fc.array(piece, { maxLength: 24 }).map((pieces) => pieces.join(''))

/** Splits behind each blank line by searching the whole text. */
function splitWhole (whole: string): { readonly events: string[], readonly rest: string } {
  const events = whole.match(/[^]*?\n\r?\n/g) ?? []
  return { events, rest: whole.slice(events.join('').length) }
}

tap.test('events do not depend on how the stream is cut into chunks', (t) => {
  fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1 }), (whole, sizes) => {
    const splitter = new eventSplitter.EventSplitter()
    const events: string[] = []
    let position = 0
    for (let index = 0; position < whole.length; index += 1) {
      const size = sizes[index % sizes.length]!
      events.push(...splitter.push(Buffer.from(whole.slice(position, position + size))).map(({ raw }) => raw.toString()))
      position += size
    }
    const expected = splitWhole(whole)
    if (events.join('|') !== expected.events.join('|') || splitter.pendingBytes !== expected.rest.length) throw new Error(`${JSON.stringify(events)}, ${splitter.pendingBytes} left`)
  }), { numRuns: 2_000, seed: 54 })
  t.pass('drawn with seed 54')
  t.end()
})

tap.test('the fields of an event', (t) => {
  const splitter = new eventSplitter.EventSplitter()
  const [event, comment, noData] = splitter.push(Buffer.from('id: 7\r\ndata: a\r\ndata:b\r\n\r\n: alive\n\nevent: x\n\n'))
  t.match(event, { id: '7', isComment: false })
  t.equal(event?.data.toString(), 'a\nb')
  t.match(comment, { id: undefined, isComment: true })
  t.match(noData, { id: undefined, isComment: false })
  t.end()
})
