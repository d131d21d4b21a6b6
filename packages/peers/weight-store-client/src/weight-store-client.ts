/** Interface of the client of the platform's rate-limited weight store. */
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Size and digest of one version of a model's weights, fetched completely and verified. */
export interface Weights {
  readonly bytes: number
  /** SHA-256 of the bytes, in hex. */
  readonly sha256: string
}

/** Options of a fetch. */
export interface FetchOptions {
  readonly signal: AbortSignal
  /** Called with each chunk in order. The receiver must discard the chunks of a fetch that fails. */
  readonly onChunk?: (chunk: Buffer) => void
}

/**
 * Client of the weight store. It paces requests to its share of the store's rate, and retries a refused request no sooner
 * than the store's retry-after time. Failures: `peerUnavailable` (refused or no connection, verdict `notRun`),
 * `upstreamFailed`, `answerBroken` (truncated, or a different digest), `timeout`, `cancelled`.
 */
export interface WeightStoreClient {
  /** Fetches one version of a model's weights and verifies its digest. */
  fetch: (model: types.ModelId, version: string, options: FetchOptions) => Promise<errors.Result<Weights>>
  /** Changes this client's share of the rate; above 0 and at most 1. */
  setShare: (share: number) => void
  close: () => Promise<void>
}

/** Settings of a weight store client. */
export interface WeightStoreSettings {
  /** Address of the weight store, as `http://ip:port`. */
  readonly address: string
  readonly timers: timerService.TimerService
  /** Rate limit of the store over all its clients, in requests per second. */
  readonly requestsPerSecond: number
  /** This client's share of that rate; above 0 and at most 1. */
  readonly share: number
  /** Time limit of one attempt, in ms. */
  readonly timeoutMs: number
  /** Maximum number of attempts per fetch, including the first. */
  readonly maxAttempts: number
  /** Random numbers from 0 to below 1 for the backoff jitter, which spreads the retries of clients refused at the same time. Defaults to `Math.random`. */
  readonly random?: () => number
}
