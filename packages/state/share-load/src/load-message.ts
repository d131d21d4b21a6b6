/** The datagram in which a process tells what it has running at each upstream, and what went wrong there since the last. */
import * as msgpack from '@msgpack/msgpack'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** What one datagram holds. */
export interface LoadMessage {
  readonly running: trackUpstreams.RunningCounts
  readonly marks: readonly trackUpstreams.MarkReport[]
}

/** A datagram that is no such message. */
export class LoadMessageError extends Error {
  override readonly name = 'LoadMessageError'
}

/** Version of the layout: others are not read, so that processes of two releases can run side by side. */
const layout = 1
/** Upstreams and marks that one datagram holds: about 20 bytes each, so that it stays below the 1,400 that a link carries whole. */
const mostEntries = 50

/** Bytes of a message. Where it holds too much, what matters least is left out: the smallest counts. */
export function encodeLoad (message: LoadMessage): Uint8Array {
  const marks = message.marks.slice(0, mostEntries)
  const room = mostEntries - marks.length
  const running = [...message.running].filter(([, count]) => count > 0).sort(([, a], [, b]) => b - a).slice(0, room)
  return msgpack.encode([layout, running, marks.map(({ upstream, mark, count }) => [upstream, mark, count])])
}

/** Reads a message. Throws `LoadMessageError` where the bytes are none. */
export function decodeLoad (bytes: Uint8Array): LoadMessage {
  const row = decodeRow(bytes)
  const [version, running, marks] = row
  if (version !== layout) throw new LoadMessageError(`layout ${String(version)}`)
  if (!Array.isArray(running) || !Array.isArray(marks)) throw new LoadMessageError('expected two lists')
  return {
    running: new Map(running.map((entry: unknown) => decodeCount(entry))),
    marks: marks.map((entry: unknown) => decodeMark(entry))
  }
}

function decodeRow (bytes: Uint8Array): unknown[] {
  let row: unknown
  try {
    row = msgpack.decode(bytes)
  } catch (err) {
    throw new LoadMessageError('not MessagePack', { cause: err })
  }
  if (!Array.isArray(row)) throw new LoadMessageError('expected a list')
  return row
}

function decodeCount (entry: unknown): [types.UpstreamId, number] {
  if (!Array.isArray(entry)) throw new LoadMessageError('expected upstream and count')
  return [idOf(entry[0]), countOf(entry[1])]
}

function decodeMark (entry: unknown): trackUpstreams.MarkReport {
  if (!Array.isArray(entry)) throw new LoadMessageError('expected upstream, mark and count')
  const mark: unknown = entry[1]
  if (mark !== 'failed' && mark !== 'slow') throw new LoadMessageError(`mark ${String(mark)}`)
  return { upstream: idOf(entry[0]), mark, count: countOf(entry[2]) }
}

function idOf (value: unknown): types.UpstreamId {
  if (typeof value !== 'string') throw new LoadMessageError('expected the id of an upstream')
  return value as types.UpstreamId
}

function countOf (value: unknown): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 1) throw new LoadMessageError('expected a count')
  return value
}
