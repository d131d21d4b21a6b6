/** Cuts a `text/event-stream` into whole events. */

/** One event as received, with the blank line that ends it. */
export interface StreamEvent {
  readonly raw: Buffer
  /** Its data, lines joined by a line feed; empty where it has none. */
  readonly data: Buffer
  /** Its id; `undefined` where it has none. */
  readonly id: string | undefined
}

const lineFeed = 0x0a
const dataField = 'data:'
const idField = 'id:'

/** Takes the bytes of a stream as they come and gives whole events; a part of an event is held back. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Bytes that are not yet a whole event. */
  get pendingBytes (): number {
    return this.rest.length
  }

  /** Forgets the part of an event that will not be completed. */
  reset (): void {
    this.rest = Buffer.alloc(0)
  }

  /** The events that are whole now. */
  push (chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = eventEnd(bytes, start); end !== -1; end = eventEnd(bytes, start)) {
      const raw = bytes.subarray(start, end)
      events.push({ raw, ...fieldsOf(raw) })
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

function fieldsOf (raw: Buffer): { readonly data: Buffer, readonly id: string | undefined } {
  const lines: Buffer[] = []
  let id: string | undefined
  let start = 0
  for (let end = raw.indexOf(lineFeed); end !== -1; end = raw.indexOf(lineFeed, start)) {
    const line = raw.subarray(start, raw[end - 1] === 0x0d ? end - 1 : end)
    const data = valueOf(line, dataField)
    if (data !== undefined) {
      if (lines.length > 0) lines.push(newline)
      lines.push(data)
    } else id = valueOf(line, idField)?.toString('utf8') ?? id
    start = end + 1
  }
  return { data: lines.length === 1 ? lines[0]! : Buffer.concat(lines), id }
}

/** The value of a line of a field, less the one space that may precede it. */
function valueOf (line: Buffer, field: string): Buffer | undefined {
  if (line.toString('latin1', 0, field.length) !== field) return undefined
  return line.subarray(line[field.length] === 0x20 ? field.length + 1 : field.length)
}

const newline = Buffer.from('\n')
