/** Weight store client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as pacing from './pacer.js'
import type * as weightStoreClient from './weight-store-client.js'

const maxConnections = 4
/** Limit of the exponential backoff: how often the delay doubles over consecutive refusals. */
const maxDoublings = 5

function createCancelledFailure (): errors.Failure {
  return { tag: 'cancelled', verdict: 'notRun', message: 'cancelled by the caller' }
}

function toExchangeFailure (outcome: errors.FailedOutcome): errors.Failure {
  const failure = errors.toUpstreamFailure(outcome)
  if (failure.tag !== 'upstreamUnavailable') return failure
  return { ...failure, tag: 'peerUnavailable' }
}

function toStatusFailure (status: number, headers: errors.RawHeaders): errors.Failure {
  const message = `the weight store answered ${status}`
  if (errors.isRefusal(status)) return { tag: 'peerUnavailable', verdict: 'notRun', message, retryAfterMs: errors.parseRetryAfterMs(headers) }
  return { tag: 'upstreamFailed', verdict: status < 500 ? 'notRun' : 'mayHaveRun', message, status }
}

/** Creates a weight store client. It connects on the first fetch. */
export function createWeightStoreClient (settings: weightStoreClient.WeightStoreSettings): weightStoreClient.WeightStoreClient {
  const { timers } = settings
  const random = settings.random ?? Math.random
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const pacer = pacing.createPacer(timers, settings.requestsPerSecond * settings.share)
  const pool = new undici.Pool(settings.address, { ...errors.createPoolOptions(undici.buildConnector), connections: maxConnections })

  async function tryFetch (path: string, options: weightStoreClient.FetchOptions): Promise<errors.Result<weightStoreClient.Weights>> {
    const requestId = crypto.randomUUID()
    const hash = crypto.createHash('sha256')
    let bytes = 0
    const onData = (chunk: Buffer): boolean => {
      bytes += chunk.length
      hash.update(chunk)
      options.onChunk?.(chunk)
      return false
    }
    const outcome = await errors.runExchange({ requestId, maxBytes: Infinity, timeout, signal: options.signal, onData }, (handler) => {
      pool.dispatch({ path, method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(toExchangeFailure(outcome))
    if (outcome.status !== 200) return errors.fail(toStatusFailure(outcome.status, outcome.headers))
    const sha256 = hash.digest('hex')
    if (sha256 === errors.getHeader(outcome.headers, 'x-weights-sha256')) return errors.ok({ bytes, sha256 })
    return errors.fail({ tag: 'answerBroken', verdict: 'ran', message: 'the weights do not match their SHA-256 digest', detail: 'digest' })
  }

  /** Delay after a number of consecutive refusals: retry-after time with exponential backoff and up to 50 % jitter. */
  function computeBackoffMs (refusals: number, retryAfterMs: number): number {
    return retryAfterMs * 2 ** Math.min(refusals - 1, maxDoublings) * (1 + random() / 2)
  }

  async function fetch (model: types.ModelId, version: string, options: weightStoreClient.FetchOptions): Promise<errors.Result<weightStoreClient.Weights>> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    for (let attempt = 1; ; attempt += 1) {
      if (!await pacer.waitForSlot(options.signal)) return errors.fail(createCancelledFailure())
      const result = await tryFetch(path, options)
      const retryAfterMs = result.ok ? undefined : getRetryAfterMs(result.failure)
      if (retryAfterMs === undefined || attempt >= settings.maxAttempts) return result
      if (!await pacing.delay(timers, computeBackoffMs(attempt, retryAfterMs), options.signal)) return errors.fail(createCancelledFailure())
    }
  }

  /** Returns the retry-after time of a failure that can be retried; undefined for others. */
  function getRetryAfterMs (failure: errors.Failure): number | undefined {
    return failure.tag === 'peerUnavailable' ? failure.retryAfterMs : undefined
  }

  return {
    fetch,
    setShare: (share) => { pacer.setRate(settings.requestsPerSecond * share) },
    close: () => pool.close()
  }
}
