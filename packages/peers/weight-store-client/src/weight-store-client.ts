/** What the system asks of the platform's rate-limited weight store. */
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** One version of a model's weights, fetched whole and checked against its digest. */
export interface Weights {
  readonly bytes: number
  /** SHA-256 of the bytes, in hex. */
  readonly sha256: string
}

export interface FetchOptions {
  readonly signal: AbortSignal
  /** Gets the bytes in order; of a fetch that fails they are to be thrown away. */
  readonly onChunk?: (chunk: Buffer) => void
}

/**
 * Requests are spaced by this client's share of the store's rate, and come back after a refusal no sooner than
 * the store says. Failures: `peerUnavailable` (refused or no connection, notRun), `upstreamFailed`,
 * `answerBroken` (cut short or another digest), `timeout`, `cancelled`.
 */
export interface WeightStoreClient {
  fetch: (model: types.ModelId, version: string, options: FetchOptions) => Promise<errors.Result<Weights>>
  /** Changes this client's share of the rate, from above 0 to 1. */
  setShare: (share: number) => void
  close: () => Promise<void>
}

export interface WeightStoreSettings {
  /** Address of the weight store, as `http://ip:port`. */
  readonly address: string
  readonly timers: timerService.TimerService
  /** Requests a second that the store takes from all its clients together. */
  readonly requestsPerSecond: number
  /** This client's share of that rate, from above 0 to 1. */
  readonly share: number
  /** Time limit of one attempt, in milliseconds. */
  readonly timeoutMs: number
  /** Attempts at one fetch, the first included. */
  readonly maxAttempts: number
  /** Spreads clients that were refused together, from 0 to below 1; Math.random where left out. */
  readonly random?: () => number
}
