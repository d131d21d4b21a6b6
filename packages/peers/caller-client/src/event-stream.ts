/** Parses server-sent events from the bytes of a response body. */

/** One server-sent event; the name is `message` where the event has none. */
export interface ServerEvent {
  readonly name: string
  readonly data: string
}

const defaultEventName = 'message'

function parseEvent (block: string): ServerEvent | undefined {
  let name = defaultEventName
  const data: string[] = []
  for (const line of block.split('\n')) {
    if (line.startsWith('event: ')) name = line.slice('event: '.length)
    else if (line.startsWith('data: ')) data.push(line.slice('data: '.length))
  }
  return data.length === 0 ? undefined : { name, data: data.join('\n') }
}

/** Yields the complete events in order; an incomplete event at the end of the body is dropped. */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerEvent> {
  const decoder = new TextDecoder()
  let buffered = ''
  for await (const chunk of body) {
    buffered += decoder.decode(chunk, { stream: true })
    const blocks = buffered.split('\n\n')
    buffered = blocks.pop() ?? ''
    for (const block of blocks) {
      const event = parseEvent(block)
      if (event !== undefined) yield event
    }
  }
}
