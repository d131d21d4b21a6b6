/** Asks an engine for a completion with nothing in between, for comparison. */
import * as undici from 'undici'

export interface DirectAnswer {
  readonly firstTextMs: number
  readonly totalMs: number
}

export interface DirectRequest {
  readonly requestId: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
}

const okStatus = 200
const doneMark = '[DONE]'

export class DirectClient {
  private readonly pool: undici.Pool

  constructor (address: string, connections: number) {
    this.pool = new undici.Pool(address, { connections, headersTimeout: 0, bodyTimeout: 0 })
  }

  /** Throws where the answer is not whole. */
  async complete (req: DirectRequest): Promise<DirectAnswer> {
    const { requestId, model, prompt, maxTokens, stream } = req
    const messages = [{ role: 'user', content: prompt }]
    const startedAt = performance.now()
    const { statusCode, body } = await this.pool.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': requestId },
      body: JSON.stringify({ model, messages, max_tokens: maxTokens, stream })
    })
    if (statusCode !== okStatus) throw new Error(`the engine answered ${statusCode}: ${await body.text()}`)
    return stream ? await readStream(body, startedAt) : await readWhole(body, startedAt)
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

async function readWhole (body: undici.Dispatcher.ResponseData['body'], startedAt: number): Promise<DirectAnswer> {
  await body.json()
  const totalMs = performance.now() - startedAt
  return { firstTextMs: totalMs, totalMs }
}

async function readStream (body: AsyncIterable<Uint8Array>, startedAt: number): Promise<DirectAnswer> {
  const decoder = new TextDecoder()
  let text = ''
  let firstTextMs: number | undefined
  for await (const chunk of body) {
    firstTextMs ??= performance.now() - startedAt
    text += decoder.decode(chunk, { stream: true })
  }
  if (firstTextMs === undefined || !text.includes(doneMark)) throw new Error('the answer of the engine was cut')
  return { firstTextMs, totalMs: performance.now() - startedAt }
}
