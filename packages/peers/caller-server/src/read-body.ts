/** Reads and parses the JSON body of a request, up to a size limit. */
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import * as requestSchema from './request-schema.js'

function createTooLargeFailure (limitBytes: number): errors.Failure {
  return { tag: 'bodyTooLarge', verdict: 'notRun', message: `request body exceeds the limit of ${limitBytes} bytes`, limitBytes }
}

/** Reads and discards the body beyond the limit, so that the sender can finish sending and receives the response. */
function readText (req: http.IncomingMessage, limitBytes: number): Promise<errors.Result<string>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    req.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes <= limitBytes) chunks.push(chunk)
    })
    req.on('end', () => resolve(receivedBytes > limitBytes ? errors.fail(createTooLargeFailure(limitBytes)) : errors.ok(Buffer.concat(chunks).toString('utf8'))))
    req.on('error', (err) => resolve(errors.fail(requestSchema.createInvalidRequest('(body)', `a complete body, but the connection failed: ${err.message}`))))
  })
}

/** Parses the body as JSON; an empty body counts as an empty object. Fails with bodyTooLarge or invalidRequest. */
export async function readJson (req: http.IncomingMessage, limitBytes: number): Promise<errors.Result<unknown>> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0)
  if (declaredBytes > limitBytes) {
    req.resume()
    return errors.fail(createTooLargeFailure(limitBytes))
  }
  const text = await readText(req, limitBytes)
  if (!text.ok) return text
  if (text.value.trim() === '') return errors.ok({})
  try {
    return errors.ok(JSON.parse(text.value))
  } catch (err) {
    return errors.fail(requestSchema.createInvalidRequest('(body)', `JSON: ${(err as Error).message}`))
  }
}
