/** Reads and parses the body of a request, up to a limit. */
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import * as requestSchema from './request-schema.js'

function tooLarge (limitBytes: number): errors.Failure {
  return { tag: 'bodyTooLarge', verdict: 'notRun', message: `the body is longer than ${limitBytes} bytes`, limitBytes }
}

/** Past the limit the rest is read and thrown away, so that the sender sees the answer. */
function readText (req: http.IncomingMessage, limitBytes: number): Promise<errors.Result<string>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes <= limitBytes) chunks.push(chunk)
    })
    req.on('end', () => resolve(bytes > limitBytes ? errors.fail(tooLarge(limitBytes)) : errors.ok(Buffer.concat(chunks).toString('utf8'))))
    req.on('error', (err) => resolve(errors.fail(requestSchema.invalid('(body)', `a whole body, but its connection broke: ${err.message}`))))
  })
}

/** An empty body counts as an empty object. */
export async function readJson (req: http.IncomingMessage, limitBytes: number): Promise<errors.Result<unknown>> {
  const announced = Number(req.headers['content-length'] ?? 0)
  if (announced > limitBytes) {
    req.resume()
    return errors.fail(tooLarge(limitBytes))
  }
  const text = await readText(req, limitBytes)
  if (!text.ok) return text
  if (text.value.trim() === '') return errors.ok({})
  try {
    return errors.ok(JSON.parse(text.value))
  } catch (err) {
    return errors.fail(requestSchema.invalid('(body)', `JSON: ${(err as Error).message}`))
  }
}
