/** Splits a `text/event-stream` into complete events. */

/** One event as received, including the blank line that ends it. */
export interface StreamEvent {
  readonly raw: Buffer
  /** The data lines joined by line feeds; empty if there are none. */
  readonly data: Buffer
  /** One character for each byte; `undefined` if the event has no id. */
  readonly id: string | undefined
  /** Consists of comments only, as servers send them to keep a connection alive. */
  readonly isComment: boolean
}

const lineFeedByte = 0x0a
const colonByte = 0x3a
const dataField = 'data:'
const idField = 'id:'

/** Incremental splitter: accepts chunks of a stream and returns complete events; an incomplete event stays buffered. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.pending.length
  }

  /** Discards an incomplete event that will not be completed. */
  reset (): void {
    this.pending = Buffer.alloc(0)
  }

  /** Returns the events that the chunk completes. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(bytes, start); end !== -1; end = findEventEnd(bytes, start)) {
      const raw = bytes.subarray(start, end)
      events.push({ raw, ...parseFields(raw) })
      start = end
    }
    this.pending = bytes.subarray(start)
    return events
  }
}

/** Index after the blank line that ends the event, or -1. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeedByte, start); index !== -1; index = bytes.indexOf(lineFeedByte, index + 1)) {
    let next = index + 1
    if (bytes[next] === 0x0d) next += 1
    if (bytes[next] === lineFeedByte) return next + 1
  }
  return -1
}

function parseFields (raw: Buffer): Omit<StreamEvent, 'raw'> {
  const lines: Buffer[] = []
  let id: string | undefined
  let isComment = true
  let start = 0
  for (let end = raw.indexOf(lineFeedByte); end !== -1; end = raw.indexOf(lineFeedByte, start)) {
    const line = raw.subarray(start, raw[end - 1] === 0x0d ? end - 1 : end)
    if (line.length > 0 && line[0] !== colonByte) isComment = false
    const data = parseFieldValue(line, dataField)
    if (data !== undefined) {
      if (lines.length > 0) lines.push(lineFeedBytes)
      lines.push(data)
    } else id = parseFieldValue(line, idField)?.toString('latin1') ?? id
    start = end + 1
  }
  return { data: lines.length === 1 ? lines[0]! : Buffer.concat(lines), id, isComment }
}

/** The value of a line that belongs to the field, without the one optional leading space; `undefined` for other lines. */
function parseFieldValue (line: Buffer, field: string): Buffer | undefined {
  if (line.toString('latin1', 0, field.length) !== field) return undefined
  return line.subarray(line[field.length] === 0x20 ? field.length + 1 : field.length)
}

const lineFeedBytes = Buffer.from('\n')
