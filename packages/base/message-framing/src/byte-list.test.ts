import * as fc from 'fast-check'
import tap from 'tap'
import * as byteList from './byte-list.js'

tap.test('the bytes are those of the chunks, in order', async (t) => {
  const runs = fc.array(fc.record({ bytes: fc.constantFrom(0, 1, 2, 1_000, 70_000), count: fc.integer({ min: 1, max: 200 }) }), { maxLength: 5 })
  fc.assert(fc.property(runs, (plan) => {
    const chunks = plan.flatMap(({ bytes, count }) => Array.from({ length: count }, (_, index) => Buffer.alloc(bytes, index)))
    const list = new byteList.ByteList()
    for (const chunk of chunks) list.push(chunk)
    return list.concat().equals(Buffer.concat(chunks))
  }), { numRuns: 40 })
  t.equal(new byteList.ByteList().concat().length, 0)
})

/** Memory per chunk of one byte, in bytes. */
const maxBytesPerChunk = 24

// Guards against a body in chunks of one byte that costs a hundred times its length.
tap.test('small chunks cost little memory', async (t) => {
  const list = new byteList.ByteList()
  const source = Buffer.alloc(65_536)
  const count = 1_000_000
  const before = process.memoryUsage()
  for (let index = 0; index < count; index += 1) list.push(source.subarray(index % source.length, index % source.length + 1))
  const after = process.memoryUsage()
  const bytesPerChunk = (after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers) / count
  t.ok(bytesPerChunk <= maxBytesPerChunk, `${bytesPerChunk} bytes per chunk`)
  t.equal(list.concat().length, count)
})
