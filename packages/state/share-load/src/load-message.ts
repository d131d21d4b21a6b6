/**
 * Datagram in which a process reports its requests in flight at each upstream, and the requests that failed or were
 * slow there.
 */
import * as msgpack from '@msgpack/msgpack'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** Content of one datagram. */
export interface LoadMessage {
  /** Requests in flight at each upstream. */
  readonly running: trackUpstreams.RunningCounts
  /** Failed or slow requests at each upstream since the last report. */
  readonly marks: readonly trackUpstreams.MarkReport[]
}

/** A datagram that can't be decoded as a load message. */
export class LoadMessageError extends Error {
  override readonly name = 'LoadMessageError'
}

/** Version of the message layout; messages of other versions are rejected, so that two releases can run side by side. */
const layoutVersion = 1
/**
 * Maximum number of upstreams and marks in one datagram: at about 20 bytes each, it stays below 1,400 bytes and is not
 * fragmented.
 */
const maxEntries = 50

/** Encodes a message. If it has too many entries, the upstreams with the smallest counts are left out. */
export function encodeLoad (message: LoadMessage): Uint8Array {
  const marks = message.marks.slice(0, maxEntries)
  const maxRunningEntries = maxEntries - marks.length
  const running = [...message.running].filter(([, count]) => count > 0).sort(([, a], [, b]) => b - a).slice(0, maxRunningEntries)
  return msgpack.encode([layoutVersion, running, marks.map(({ upstream, mark, count }) => [upstream, mark, count])])
}

/** Decodes a message. Throws `LoadMessageError` if the bytes are not a load message. */
export function decodeLoad (bytes: Uint8Array): LoadMessage {
  const array = decodeArray(bytes)
  const [version, running, marks] = array
  if (version !== layoutVersion) throw new LoadMessageError(`unsupported layout version ${String(version)}`)
  if (!Array.isArray(running) || !Array.isArray(marks)) throw new LoadMessageError('expected arrays of running counts and marks')
  return {
    running: new Map(running.map((entry: unknown) => decodeCount(entry))),
    marks: marks.map((entry: unknown) => decodeMark(entry))
  }
}

function decodeArray (bytes: Uint8Array): unknown[] {
  let array: unknown
  try {
    array = msgpack.decode(bytes)
  } catch (err) {
    throw new LoadMessageError('not valid MessagePack', { cause: err })
  }
  if (!Array.isArray(array)) throw new LoadMessageError('expected an array')
  return array
}

function decodeCount (entry: unknown): [types.UpstreamId, number] {
  if (!Array.isArray(entry)) throw new LoadMessageError('expected an array of upstream and count')
  return [parseId(entry[0]), parseCount(entry[1])]
}

function decodeMark (entry: unknown): trackUpstreams.MarkReport {
  if (!Array.isArray(entry)) throw new LoadMessageError('expected an array of upstream, mark and count')
  const mark: unknown = entry[1]
  if (mark !== 'failed' && mark !== 'slow') throw new LoadMessageError(`unknown mark ${String(mark)}`)
  return { upstream: parseId(entry[0]), mark, count: parseCount(entry[2]) }
}

function parseId (value: unknown): types.UpstreamId {
  if (typeof value !== 'string') throw new LoadMessageError('expected an upstream id')
  return value as types.UpstreamId
}

function parseCount (value: unknown): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 1) throw new LoadMessageError('expected a positive integer count')
  return value
}
