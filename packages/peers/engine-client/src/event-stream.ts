/** Incremental parser of server-sent events that yields the data of each event. */
import * as stringDecoder from 'node:string_decoder'

/** Accepts a stream in chunks of any size and returns the data of the events that each chunk completes. */
export interface EventStreamParser {
  push: (chunk: Buffer) => readonly string[]
}

/** Returns the value of a data line; undefined for comments and other fields. */
function parseDataLine (line: string): string | undefined {
  if (!line.startsWith('data:')) return undefined
  return line.startsWith(' ', 5) ? line.slice(6) : line.slice(5)
}

export function createEventStreamParser (): EventStreamParser {
  const decoder = new stringDecoder.StringDecoder('utf8')
  let partialLine = ''
  let dataLines: string[] = []

  function endEvent (events: string[]): void {
    if (dataLines.length > 0) events.push(dataLines.join('\n'))
    dataLines = []
  }

  function push (chunk: Buffer): readonly string[] {
    const events: string[] = []
    const lines = (partialLine + decoder.write(chunk)).split('\n')
    partialLine = lines.pop() ?? ''
    for (const rawLine of lines) {
      const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine
      if (line === '') endEvent(events)
      else addLine(line)
    }
    return events
  }

  function addLine (line: string): void {
    const text = parseDataLine(line)
    if (text !== undefined) dataLines.push(text)
  }

  return { push }
}
