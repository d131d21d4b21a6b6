/** Reads and parses the JSON body of a request, up to a size limit and within the budget of all bodies. */
import type * as http from 'node:http'
import type * as bodyBudget from '@eelgrasswind/body-budget'
import * as errors from '@eelgrasswind/errors'
import * as messageFraming from '@eelgrasswind/message-framing'
import * as requestSchema from './request-schema.js'

/** Retry-after of a request whose body does not fit beside those of others, in ms. */
const bodiesFullRetryMs = 1_000

const bodiesFull: errors.Failure = { tag: 'overloaded', verdict: 'notRun', message: 'too many request bodies are arriving at once', retryAfterMs: bodiesFullRetryMs }

/** Limits of a body. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Of the bodies of all requests; this one is counted until it is released, or its response is closed. */
  readonly budget: bodyBudget.BodyBudget
  /** Holds the bytes of bodies until they are whole or refused. */
  readonly pool: messageFraming.BlockPool
}

/** A body that has arrived whole. */
export interface ReceivedBody {
  /** Parsed from JSON. */
  readonly value: unknown
  /** Gives its bytes back to the budget; safe to call twice. */
  readonly release: () => void
}

/** The text of a body. */
interface ReceivedText extends Pick<ReceivedBody, 'release'> {
  readonly text: string
}

function createTooLargeFailure (limitBytes: number): errors.Failure {
  return { tag: 'bodyTooLarge', verdict: 'notRun', message: `request body exceeds the limit of ${limitBytes} bytes`, limitBytes }
}

/** After a refusal the rest of the body is read and discarded, so that the sender can finish sending and receives the response. */
function readText (req: http.IncomingMessage, res: http.ServerResponse, { maxBytes, budget, pool }: BodyLimits): Promise<errors.Result<ReceivedText>> {
  return new Promise((resolve) => {
    let chunks: messageFraming.PooledByteList | undefined = new messageFraming.PooledByteList(pool)
    let receivedBytes = 0
    const dropChunks = (): void => {
      chunks?.release()
      chunks = undefined
    }
    const refuse = (failure: errors.Failure): void => {
      dropChunks()
      budgeted.release()
      resolve(errors.fail(failure))
    }
    const budgeted = budget.open(() => { refuse(bodiesFull) })
    res.once('close', () => {
      dropChunks()
      budgeted.release()
    })
    req.on('data', (chunk: Buffer) => {
      if (chunks === undefined) return
      receivedBytes += chunk.length
      if (receivedBytes > maxBytes) return refuse(createTooLargeFailure(maxBytes))
      chunks.push(chunk)
      budgeted.add(chunk.length)
    })
    req.on('end', () => {
      if (chunks === undefined) return
      budgeted.complete()
      resolve(errors.ok({ text: chunks.concat().toString('utf8'), release: () => { budgeted.release() } }))
      dropChunks()
    })
    req.on('error', (err) => { refuse(requestSchema.createInvalidRequest('(body)', `a complete body, but the connection failed: ${err.message}`)) })
  })
}

/** Parses the body as JSON; an empty body counts as an empty object. Fails with bodyTooLarge, invalidRequest, or overloaded if the body does not fit beside those of others. */
export async function readJson (req: http.IncomingMessage, res: http.ServerResponse, limits: BodyLimits): Promise<errors.Result<ReceivedBody>> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0)
  if (declaredBytes > limits.maxBytes) {
    req.resume()
    return errors.fail(createTooLargeFailure(limits.maxBytes))
  }
  const received = await readText(req, res, limits)
  if (!received.ok) return received
  const { text, release } = received.value
  if (text.trim() === '') return errors.ok({ value: {}, release })
  try {
    return errors.ok({ value: JSON.parse(text), release })
  } catch (err) {
    release()
    return errors.fail(requestSchema.createInvalidRequest('(body)', `JSON: ${(err as Error).message}`))
  }
}
