/**
 * Collects garbage before it takes much memory. By itself V8 lets the old generation grow to a multiple of what is in use, and
 * about 64 MB of chunks pile up outside the heap: more than a small host has.
 */
import * as v8 from 'node:v8'
import * as vm from 'node:vm'

/** Bytes of chunks after which the young generation is collected; a collection takes about a millisecond. */
const chunkBytesPerCollection = 8_388_608
/** Arrivals and ends of requests after which the size of the memory is read, which takes some microseconds. */
const eventsPerLook = 64
/** Growth since it was smallest after which all of the memory is collected, in bytes; a collection takes tens of milliseconds. */
const maxGrowthBytes = 16_777_216

/** The names of the spaces of the young generation begin with it. */
const youngSpacePrefix = 'new_'

interface Collect {
  (options?: { readonly type: 'minor' }): void
}

let collect: Collect | undefined
let receivedBytes = 0
let eventCount = 0
/** Of what is used in the old generation and outside the heap, garbage included, in bytes. */
let smallestBytes: number | undefined

function getCollect (): Collect {
  if (collect === undefined) {
    v8.setFlagsFromString('--expose-gc')
    collect = vm.runInNewContext('gc') as Collect
  }
  return collect
}

/** Without the young generation, which V8 collects often, and free memory of the heap, whose pages V8 keeps for a while. */
function readBytes (): number {
  const oldSpaces = v8.getHeapSpaceStatistics().filter(({ space_name: name }) => !name.startsWith(youngSpacePrefix))
  return oldSpaces.reduce((sum, { space_used_size: used }) => sum + used, v8.getHeapStatistics().external_memory)
}

/** Collects all garbage if the memory has grown. */
function look (): void {
  const bytes = readBytes()
  smallestBytes = Math.min(smallestBytes ?? bytes, bytes)
  if (bytes - smallestBytes < maxGrowthBytes) return
  getCollect()()
  smallestBytes = readBytes()
}

/** Counts bytes that were received in a chunk. */
export function countChunk (bytes: number): void {
  receivedBytes += bytes
  if (receivedBytes < chunkBytesPerCollection) return
  receivedBytes = 0
  getCollect()({ type: 'minor' })
  look()
}

/** Counts the arrival or the end of a request. */
export function countRequestEvent (): void {
  eventCount += 1
  if (eventCount < eventsPerLook) return
  eventCount = 0
  look()
}
