/** The weight store client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as pacing from './pacer.js'
import type * as weightStoreClient from './weight-store-client.js'

const maxConnections = 4
/** Refusals in a row after which the wait no longer doubles. */
const maxDoublings = 5

function cancelled (): errors.Failure {
  return { tag: 'cancelled', verdict: 'notRun', message: 'given up by the asker' }
}

function brokenFailure (end: errors.FailedOutcome): errors.Failure {
  const failure = errors.toUpstreamFailure(end)
  if (failure.tag !== 'upstreamUnavailable') return failure
  return { ...failure, tag: 'peerUnavailable' }
}

function statusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  const message = `the weight store answered ${status}`
  if (errors.isRefusal(status)) return { tag: 'peerUnavailable', verdict: 'notRun', message, retryAfterMs: errors.parseRetryAfterMs(headers) }
  return { tag: 'upstreamFailed', verdict: status < 500 ? 'notRun' : 'mayHaveRun', message, status }
}

/** Connects on the first fetch. */
export function createWeightStoreClient (settings: weightStoreClient.WeightStoreSettings): weightStoreClient.WeightStoreClient {
  const { timers } = settings
  const random = settings.random ?? Math.random
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const pacer = pacing.createPacer(timers, settings.requestsPerSecond * settings.share)
  const pool = new undici.Pool(settings.address, { ...errors.poolOptions, connections: maxConnections })

  async function attempt (path: string, options: weightStoreClient.FetchOptions): Promise<errors.Result<weightStoreClient.Weights>> {
    const requestId = crypto.randomUUID()
    const hash = crypto.createHash('sha256')
    let bytes = 0
    const onData = (chunk: Buffer): boolean => {
      bytes += chunk.length
      hash.update(chunk)
      options.onChunk?.(chunk)
      return false
    }
    const end = await errors.runExchange({ requestId, maxBytes: Infinity, timeout, signal: options.signal, onData }, (handler) => {
      pool.dispatch({ path, method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (end.type !== 'answered') return errors.fail(brokenFailure(end))
    if (end.status !== 200) return errors.fail(statusFailure(end.status, end.headers))
    const sha256 = hash.digest('hex')
    if (sha256 === errors.getHeader(end.headers, 'x-weights-sha256')) return errors.ok({ bytes, sha256 })
    return errors.fail({ tag: 'answerBroken', verdict: 'ran', message: 'the bytes do not match their digest', detail: 'digest' })
  }

  /** Time to wait after so many refusals in a row: doubles, and is spread to up to half as much again. */
  function backoffMs (refusals: number, retryAfterMs: number): number {
    return retryAfterMs * 2 ** Math.min(refusals - 1, maxDoublings) * (1 + random() / 2)
  }

  async function fetch (model: types.ModelId, version: string, options: weightStoreClient.FetchOptions): Promise<errors.Result<weightStoreClient.Weights>> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    for (let tries = 1; ; tries += 1) {
      if (!await pacer.next(options.signal)) return errors.fail(cancelled())
      const result = await attempt(path, options)
      const retryAfterMs = result.ok ? undefined : retryAfterOf(result.failure)
      if (retryAfterMs === undefined || tries >= settings.maxAttempts) return result
      if (!await pacing.wait(timers, backoffMs(tries, retryAfterMs), options.signal)) return errors.fail(cancelled())
    }
  }

  /** Time to come back of a failure that is worth another attempt. */
  function retryAfterOf (failure: errors.Failure): number | undefined {
    return failure.tag === 'peerUnavailable' ? failure.retryAfterMs : undefined
  }

  return {
    fetch,
    setShare: (share) => { pacer.setRate(settings.requestsPerSecond * share) },
    close: () => pool.close()
  }
}
