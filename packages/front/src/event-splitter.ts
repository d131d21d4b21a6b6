/** Cuts a `text/event-stream` into whole events. */

/** One event as received, with the blank line that ends it. */
export interface StreamEvent {
  readonly raw: Buffer
  /** Its data, lines joined by a line feed; empty where it has none. */
  readonly data: Buffer
}

const lineFeed = 0x0a
const dataField = 'data:'

/** Takes the bytes of a stream as they come and gives whole events; a part of an event is held back. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Bytes that are not yet a whole event. */
  get pendingBytes (): number {
    return this.rest.length
  }

  /** The events that are whole now. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = eventEnd(bytes, start); end !== -1; end = eventEnd(bytes, start)) {
      const raw = bytes.subarray(start, end)
      events.push({ raw, data: dataOf(raw) })
      start = end
    }
    this.rest = bytes.subarray(start)
    return events
  }
}

/** Index after the blank line that ends the event, or -1. */
function eventEnd (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(lineFeed, start); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
    let next = at + 1
    if (bytes[next] === 0x0d) next += 1
    if (bytes[next] === lineFeed) return next + 1
  }
  return -1
}

function dataOf (raw: Buffer): Buffer {
  const lines: Buffer[] = []
  let start = 0
  for (let end = raw.indexOf(lineFeed); end !== -1; end = raw.indexOf(lineFeed, start)) {
    const line = raw.subarray(start, raw[end - 1] === 0x0d ? end - 1 : end)
    if (line.toString('latin1', 0, dataField.length) === dataField) {
      const from = line[dataField.length] === 0x20 ? dataField.length + 1 : dataField.length
      if (lines.length > 0) lines.push(newline)
      lines.push(line.subarray(from))
    }
    start = end + 1
  }
  return lines.length === 1 ? lines[0]! : Buffer.concat(lines)
}

const newline = Buffer.from('\n')
