/** Reads server-sent events from the bytes of an answer. */

export interface ServerEvent {
  readonly name: string
  readonly data: string
}

const defaultName = 'message'

function parseEvent (block: string): ServerEvent | undefined {
  let name = defaultName
  const data: string[] = []
  for (const line of block.split('\n')) {
    if (line.startsWith('event: ')) name = line.slice('event: '.length)
    else if (line.startsWith('data: ')) data.push(line.slice('data: '.length))
  }
  return data.length === 0 ? undefined : { name, data: data.join('\n') }
}

export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncGenerator<ServerEvent> {
  const decoder = new TextDecoder()
  let rest = ''
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true })
    const blocks = rest.split('\n\n')
    rest = blocks.pop() ?? ''
    for (const block of blocks) {
      const event = parseEvent(block)
      if (event !== undefined) yield event
    }
  }
}
