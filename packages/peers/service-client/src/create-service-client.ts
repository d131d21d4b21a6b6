/** Service client over HTTP. */
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import type * as serviceClient from './service-client.js'

const maxConnections = 256

/** Parses a JSON body, null if it is empty; undefined if it is not JSON. */
function parseBody (body: Buffer): { readonly value: unknown } | undefined {
  if (body.length === 0) return { value: null }
  try {
    return { value: JSON.parse(body.toString('utf8')) }
  } catch {
    return undefined
  }
}

function buildHeaders (req: serviceClient.ServiceRequest, options: serviceClient.CallOptions): string[] {
  const headers = ['content-type', 'application/json', 'x-request-id', req.requestId]
  if (options.traceparent !== undefined) headers.push('traceparent', options.traceparent)
  return headers
}

function toResult (outcome: errors.ExchangeOutcome): errors.Result<serviceClient.ServiceAnswer> {
  if (outcome.type !== 'answered') return errors.fail(errors.toUpstreamFailure(outcome))
  const { status } = outcome
  if (errors.isRefusal(status)) return errors.fail(errors.toUpstreamRefusal(status, outcome.headers))
  if (status >= 500) return errors.fail({ tag: 'upstreamFailed', verdict: 'mayHaveRun', message: `the service answered ${status}`, status })
  const body = parseBody(outcome.body)
  if (body === undefined) return errors.fail({ tag: 'answerBroken', verdict: 'ran', message: 'the service\'s answer is not JSON', detail: 'invalid' })
  return errors.ok({ status, body: body.value })
}

/** Creates a service client. It connects on the first call, reuses connections, and never sends a request twice. */
export function createServiceClient (settings: serviceClient.ServiceSettings): serviceClient.ServiceClient {
  const pool = new undici.Pool(settings.address, { ...errors.createPoolOptions(undici.buildConnector), connections: maxConnections })

  async function call (req: serviceClient.ServiceRequest, options: serviceClient.CallOptions): Promise<errors.Result<serviceClient.ServiceAnswer>> {
    const { requestId } = req
    const path = req.path.startsWith('/') ? req.path : `/${req.path}`
    const body = Buffer.from(JSON.stringify(req.body ?? null))
    const outcome = await errors.runExchange({ requestId, maxBytes: settings.maxAnswerBytes, signal: options.signal }, (handler) => {
      pool.dispatch({ path, method: 'POST', headers: buildHeaders(req, options), body }, handler)
    })
    return toResult(outcome)
  }

  return { call, close: () => pool.close() }
}
