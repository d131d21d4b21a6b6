/** Incremental parser of server-sent events that yields the data of each event. */
import * as stringDecoder from 'node:string_decoder'

/** Limit of an event, in UTF-16 code units. */
const maxEventLength = 1_048_576
/** Limit of the lines between two events, such as comments, in UTF-16 code units. */
const maxCommentLength = 65_536

/** Accepts a stream in chunks of any size and returns the data of the events that each chunk completes. */
export interface EventStreamParser {
  push: (chunk: Buffer) => readonly string[]
  /** Whether an event, or what stands between two of them, went on beyond its limit. The parser then takes no more. */
  readonly isEndless: boolean
}

/** Returns the value of a data line; undefined for comments and other fields. */
function parseDataLine (line: string): string | undefined {
  if (!line.startsWith('data:')) return undefined
  return line.startsWith(' ', 5) ? line.slice(6) : line.slice(5)
}

/** Looks at each character once, however the stream is cut into chunks. */
export function createEventStreamParser (): EventStreamParser {
  const decoder = new stringDecoder.StringDecoder('utf8')
  /** Pieces of the last line, which has not ended. */
  let partialLine: string[] = []
  let dataLines: string[] = []
  let eventLength = 0
  let commentLength = 0
  let isEndless = false

  function endEvent (events: string[]): void {
    if (dataLines.length === 0) {
      commentLength += 1
    } else {
      events.push(dataLines.join('\n'))
      commentLength = 0
    }
    dataLines = []
    eventLength = 0
  }

  function push (chunk: Buffer): readonly string[] {
    const events: string[] = []
    if (isEndless) return events
    const [first = '', ...rest] = decoder.write(chunk).split('\n')
    addPiece(first)
    for (const piece of rest) {
      endLine(events)
      addPiece(piece)
      if (isEndless) break
    }
    return events
  }

  function addPiece (piece: string): void {
    partialLine.push(piece)
    eventLength += piece.length
    if (eventLength > maxEventLength || commentLength > maxCommentLength) isEndless = true
  }

  function endLine (events: string[]): void {
    const rawLine = partialLine.join('')
    partialLine = []
    const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine
    if (line === '') endEvent(events)
    else addLine(line)
  }

  function addLine (line: string): void {
    const text = parseDataLine(line)
    if (text !== undefined) dataLines.push(text)
    else commentLength += line.length + 1
  }

  return {
    push,
    get isEndless () { return isEndless }
  }
}
