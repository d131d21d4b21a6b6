/** The records of the log stand-in: streams with contiguous offsets and limited retention. */

export interface StoredRecord {
  readonly offset: number
  readonly at: number
  readonly data: string
}

export interface StreamPage {
  readonly first: number
  readonly next: number
  readonly records: readonly StoredRecord[]
}

export interface Retention {
  /** Milliseconds that a record is kept. */
  readonly ms?: number | undefined
  /** Records that a stream keeps. */
  readonly records?: number | undefined
}

export interface LogStreams {
  append: (stream: string, data: string) => StoredRecord
  read: (stream: string, from: number, limit: number) => StreamPage
  /** Drops the records of a stream below an offset. */
  expire: (stream: string, before: number) => void
}

interface Stream {
  /** Offset of records[0]. */
  first: number
  records: StoredRecord[]
}

/** Characters that a page holds; a page of large records is shorter than its limit. */
const maxPageChars = 4 * 1024 * 1024

export function createLogStreams (now: () => number, retention: Retention): LogStreams {
  const streams = new Map<string, Stream>()

  function streamOf (name: string): Stream {
    let stream = streams.get(name)
    if (stream === undefined) {
      stream = { first: 0, records: [] }
      streams.set(name, stream)
    }
    return stream
  }

  function drop (stream: Stream, count: number): void {
    if (count <= 0) return
    stream.records.splice(0, count)
    stream.first += count
  }

  function applyRetention (stream: Stream): void {
    if (retention.records !== undefined) drop(stream, stream.records.length - retention.records)
    if (retention.ms === undefined) return
    const oldest = now() - retention.ms
    const kept = stream.records.findIndex((record) => record.at >= oldest)
    drop(stream, kept < 0 ? stream.records.length : kept)
  }

  function append (name: string, data: string): StoredRecord {
    const stream = streamOf(name)
    const record = { offset: stream.first + stream.records.length, at: now(), data }
    stream.records.push(record)
    applyRetention(stream)
    return record
  }

  function read (name: string, from: number, limit: number): StreamPage {
    const stream = streamOf(name)
    applyRetention(stream)
    const start = Math.max(0, from - stream.first)
    const records: StoredRecord[] = []
    let chars = 0
    for (const record of stream.records.slice(start, start + limit)) {
      chars += record.data.length
      if (records.length > 0 && chars > maxPageChars) break
      records.push(record)
    }
    return { first: stream.first, next: stream.first + stream.records.length, records }
  }

  function expire (name: string, before: number): void {
    const stream = streamOf(name)
    drop(stream, Math.min(before - stream.first, stream.records.length))
  }

  return { append, read, expire }
}
