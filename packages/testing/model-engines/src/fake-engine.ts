/**
 * A fake of a model engine: continuous batching, where each stream slows as the batch grows and prompts take
 * time from answers, and a prefix cache of limited memory that running calls share.
 */
import type * as timerService from '@eelgrasswind/timer-service'
import * as prefixCache from './prefix-cache.js'

export interface EngineSettings {
  /** Streams of a batch. */
  readonly slots: number
  /** Rate of one stream alone. */
  readonly decodeTokensPerSecond: number
  /** Each further stream divides the rate by this much more. */
  readonly slowdownPerStream: number
  readonly prefillTokensPerSecond: number
  /** Most of the time that prompts may take while answers are being generated. */
  readonly prefillShare: number
  readonly cacheTokens: number
  readonly tickMs: number
}

/** A call as the engine sees it. */
export interface EngineJob {
  /** Names the prefix: a program and a branch. */
  readonly prefix: string
  readonly promptTokens: number
  readonly generatedTokens: number
  /** Tokens of the prefix that were imported with the call. */
  readonly importedTokens: number
  /** Time that the import takes. */
  readonly importMs: number
  /** Now and then while it runs: tokens generated since the last time. */
  readonly onProgress: (tokens: number, elapsedMs: number) => void
  readonly onEnd: (end: JobEnd) => void
  readonly onFail: () => void
}

export interface JobEnd {
  readonly cachedTokens: number
  readonly runMs: number
}

export interface EngineLoad {
  readonly running: number
}

interface Running {
  readonly job: EngineJob
  readonly startedAt: number
  readonly readyAt: number
  readonly cachedTokens: number
  prefillLeft: number
  decodeLeft: number
  seenLeft: number
  seenAt: number
}

const progressMs = 1_000

export class FakeEngine {
  readonly cache: prefixCache.PrefixCache
  readonly #running: Running[] = []
  readonly #settings: EngineSettings
  readonly #timers: timerService.TimerService
  #speed = 1
  #alive = true

  constructor (settings: EngineSettings, timers: timerService.TimerService) {
    this.#settings = settings
    this.#timers = timers
    this.cache = new prefixCache.PrefixCache(settings.cacheTokens, timers)
    timers.every(settings.tickMs, () => this.#tick())
  }

  get alive (): boolean {
    return this.#alive
  }

  get slots (): number {
    return this.#settings.slots
  }

  get load (): EngineLoad {
    return { running: this.#running.length }
  }

  /** Starts a call if there is a free stream and memory for it. */
  tryStart (job: EngineJob): boolean {
    if (this.#running.length >= this.#settings.slots) return false
    const total = job.promptTokens + job.generatedTokens
    const cached = this.cache.open(job.prefix, total, job.importedTokens, this.#running.length === 0)
    if (cached === undefined) return false
    const now = this.#timers.now()
    const cachedTokens = Math.min(cached, job.promptTokens)
    this.#running.push({
      job,
      startedAt: now,
      readyAt: now + job.importMs,
      cachedTokens,
      prefillLeft: job.promptTokens - cachedTokens,
      decodeLeft: job.generatedTokens,
      seenLeft: job.generatedTokens,
      seenAt: now
    })
    return true
  }

  cancel (job: EngineJob): void {
    const at = this.#running.findIndex((running) => running.job === job)
    if (at < 0) return
    this.#running.splice(at, 1)
    this.cache.drop(job.prefix)
  }

  /** All running calls fail, the cache is lost and nothing starts any more. */
  die (): void {
    this.#alive = false
    const lost = this.#running.splice(0)
    this.cache.clear()
    for (const running of lost) running.job.onFail()
  }

  /** Runs slower or faster from now on, without saying so. */
  setSpeed (speed: number): void {
    this.#speed = speed
  }

  #tick (): void {
    if (!this.#alive || this.#running.length === 0) return
    const now = this.#timers.now()
    const ready = this.#running.filter((running) => running.readyAt <= now)
    const left = this.#prefill(ready)
    this.#decode(ready, left)
    this.#report(ready, now)
    this.#endFinished(now)
  }

  /** Works on prompts in order of arrival; returns the share of the tick that is left. */
  #prefill (ready: readonly Running[]): number {
    const { prefillTokensPerSecond, prefillShare, tickMs } = this.#settings
    const decoding = ready.some((running) => running.prefillLeft <= 0)
    const perTick = this.#speed * prefillTokensPerSecond * tickMs / 1000
    const most = perTick * (decoding ? prefillShare : 1)
    let tokens = most
    for (const running of ready) {
      const done = Math.min(tokens, running.prefillLeft)
      running.prefillLeft -= done
      tokens -= done
      if (tokens <= 0) break
    }
    return 1 - (most - tokens) / perTick
  }

  #decode (ready: readonly Running[], share: number): void {
    const { decodeTokensPerSecond, slowdownPerStream, tickMs } = this.#settings
    const decoding = ready.filter((running) => running.prefillLeft <= 0)
    const rate = decodeTokensPerSecond / (1 + slowdownPerStream * (decoding.length - 1))
    const tokens = this.#speed * rate * share * tickMs / 1000
    for (const running of decoding) running.decodeLeft -= tokens
  }

  #report (ready: readonly Running[], now: number): void {
    for (const running of ready) {
      // A prompt gives no tokens; the time to the first one is not a time between tokens.
      if (running.prefillLeft > 0 || running.seenLeft === running.job.generatedTokens) running.seenAt = now
      if (running.prefillLeft > 0) continue
      if (running.seenLeft === running.job.generatedTokens) running.seenLeft = running.decodeLeft
      if (now - running.seenAt < progressMs) continue
      running.job.onProgress(running.seenLeft - running.decodeLeft, now - running.seenAt)
      running.seenLeft = running.decodeLeft
      running.seenAt = now
    }
  }

  #endFinished (now: number): void {
    const finished = this.#running.filter((running) => running.prefillLeft <= 0 && running.decodeLeft <= 0)
    for (const running of finished) {
      this.#running.splice(this.#running.indexOf(running), 1)
      this.cache.close(running.job.prefix)
      running.job.onEnd({ cachedTokens: running.cachedTokens, runMs: now - running.startedAt })
    }
  }
}
