/** Splits server-sent events into the texts of their data fields. */
import * as stringDecoder from 'node:string_decoder'

/** Takes the bytes of a stream in any pieces; gives each event's data once it is complete. */
export interface EventStream {
  push: (chunk: Buffer) => readonly string[]
}

/** The text of a data line; undefined for comments and other fields. */
function dataOf (line: string): string | undefined {
  if (!line.startsWith('data:')) return undefined
  return line.startsWith(' ', 5) ? line.slice(6) : line.slice(5)
}

export function createEventStream (): EventStream {
  const decoder = new stringDecoder.StringDecoder('utf8')
  let rest = ''
  let data: string[] = []

  function endEvent (events: string[]): void {
    if (data.length > 0) events.push(data.join('\n'))
    data = []
  }

  function push (chunk: Buffer): readonly string[] {
    const events: string[] = []
    const lines = (rest + decoder.write(chunk)).split('\n')
    rest = lines.pop() ?? ''
    for (const raw of lines) {
      const line = raw.endsWith('\r') ? raw.slice(0, -1) : raw
      if (line === '') endEvent(events)
      else addLine(line)
    }
    return events
  }

  function addLine (line: string): void {
    const text = dataOf(line)
    if (text !== undefined) data.push(text)
  }

  return { push }
}
