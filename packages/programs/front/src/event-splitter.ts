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
const carriageReturnByte = 0x0d
const spaceByte = 0x20
const dataField = Buffer.from('data:')
const idField = Buffer.from('id:')

/** Incremental splitter: accepts chunks of a stream and returns complete events; an incomplete event stays buffered. */
export class EventSplitter {
  /** The chunks of an incomplete event; they are joined once it is complete. */
  private pending: Buffer[] = []
  private pendingLength = 0
  private lineState: LineState = 'inLine'

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this.pendingLength
  }

  /** Discards an incomplete event that will not be completed. */
  reset (): void {
    this.pending = []
    this.pendingLength = 0
    this.lineState = 'inLine'
  }

  /** Returns the events that the chunk completes. Each byte is looked at once, however the events are cut into chunks. */
  push (chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = []
    let start = 0
    for (let end = this.findEventEnd(chunk, start); end !== -1; end = this.findEventEnd(chunk, start)) {
      const raw = this.takeEvent(chunk.subarray(start, end))
      events.push({ raw, ...parseFields(raw) })
      start = end
    }
    if (start < chunk.length) {
      this.pending.push(chunk.subarray(start))
      this.pendingLength += chunk.length - start
    }
    return events
  }

  /** Joins the buffered part of an event with its last part. */
  private takeEvent (lastPart: Buffer): Buffer {
    const raw = this.pending.length === 0 ? lastPart : Buffer.concat([...this.pending, lastPart])
    this.reset()
    return raw
  }

  /** Index after the blank line that ends the event, or -1. Keeps the state at the end of the chunk for the next one. */
  private findEventEnd (chunk: Buffer, start: number): number {
    let index = start
    while (index < chunk.length) {
      if (this.lineState === 'inLine') {
        const lineEnd = chunk.indexOf(lineFeedByte, index)
        if (lineEnd === -1) return -1
        this.lineState = 'lineStart'
        index = lineEnd + 1
        continue
      }
      const byte = chunk[index]
      index += 1
      if (byte === lineFeedByte) return index
      this.lineState = byte === carriageReturnByte && this.lineState === 'lineStart' ? 'carriageReturn' : 'inLine'
    }
    return -1
  }
}

/** What precedes the next byte: other bytes of a line, a line feed, or a line feed and a carriage return. */
type LineState = 'inLine' | 'lineStart' | 'carriageReturn'

function parseFields (raw: Buffer): Omit<StreamEvent, 'raw'> {
  const lines: Buffer[] = []
  let id: string | undefined
  let isComment = true
  let start = 0
  for (let end = raw.indexOf(lineFeedByte); end !== -1; end = raw.indexOf(lineFeedByte, start)) {
    const lineEnd = end > start && raw[end - 1] === carriageReturnByte ? end - 1 : end
    if (lineEnd > start && raw[start] !== colonByte) {
      isComment = false
      const dataStart = findValue(raw, start, lineEnd, dataField)
      if (dataStart !== -1) {
        if (lines.length > 0) lines.push(lineFeedBytes)
        lines.push(raw.subarray(dataStart, lineEnd))
      } else {
        const idStart = findValue(raw, start, lineEnd, idField)
        if (idStart !== -1) id = raw.toString('latin1', idStart, lineEnd)
      }
    }
    start = end + 1
  }
  return { data: lines.length === 1 ? lines[0]! : Buffer.concat(lines), id, isComment }
}

/** Start of the value of a line that belongs to the field, behind the one optional leading space; -1 for other lines. */
function findValue (raw: Buffer, start: number, end: number, field: Buffer): number {
  const valueStart = start + field.length
  if (valueStart > end || raw[start] !== field[0] || raw.compare(field, 0, field.length, start, valueStart) !== 0) return -1
  return valueStart < end && raw[valueStart] === spaceByte ? valueStart + 1 : valueStart
}

const lineFeedBytes = Buffer.from('\n')
