/**
 * Detects upstreams that are slow although they report themselves as healthy: compares the time per token of this
 * process's calls with that on the other upstreams.
 */
import type * as types from '@eelgrasswind/types'

/** Settings of the detector. */
export interface SlowUpstreamSettings {
  /** Weight of the newest observation, 0 to 1. */
  readonly newestShare: number
  /** Factors below this count as 1, since batches differ in size. */
  readonly toleratedFactor: number
  /** Time without new observations after which the excess over 1 is halved. */
  readonly halfLifeMs: number
}

export const defaultSlowUpstreamSettings: SlowUpstreamSettings = { newestShare: 0.3, toleratedFactor: 2.5, halfLifeMs: 10_000 }

/** Detector of slow upstreams. Times are in milliseconds. */
export interface SlowUpstreamDetector {
  /** Records the tokens received on a stream and the time elapsed since its last observation; 0 tokens count as one. */
  observe: (upstream: types.UpstreamId, tokens: number, elapsedMs: number, now: number) => void
  /** Time per token as a multiple of the median of the other upstreams; 1 if it is within the tolerated factor. */
  getSlowFactor: (upstream: types.UpstreamId, now: number) => number
  forget: (upstream: types.UpstreamId) => void
}

interface Observation {
  msPerToken: number
  at: number
}

/** Creates a detector without observations, for which all factors are 1. */
export function createSlowUpstreamDetector (settings: SlowUpstreamSettings = defaultSlowUpstreamSettings): SlowUpstreamDetector {
  const observations = new Map<types.UpstreamId, Observation>()

  function observe (upstream: types.UpstreamId, tokens: number, elapsedMs: number, now: number): void {
    const msPerToken = elapsedMs / Math.max(1, tokens)
    const observed = observations.get(upstream)
    if (observed === undefined) {
      observations.set(upstream, { msPerToken, at: now })
      return
    }
    observed.msPerToken += settings.newestShare * (msPerToken - observed.msPerToken)
    observed.at = now
  }

  function getSlowFactor (upstream: types.UpstreamId, now: number): number {
    const observed = observations.get(upstream)
    const typicalMsPerToken = computeMedianOfOthers(upstream)
    if (observed === undefined || typicalMsPerToken === undefined) return 1
    const rawFactor = observed.msPerToken / typicalMsPerToken
    if (rawFactor < settings.toleratedFactor) return 1
    // The factor decays without new observations, so that an upstream that has recovered is used again.
    const decay = 0.5 ** (Math.max(0, now - observed.at) / settings.halfLifeMs)
    return 1 + (rawFactor - 1) * decay
  }

  /** Median time per token of the other upstreams. */
  function computeMedianOfOthers (upstream: types.UpstreamId): number | undefined {
    const others = [...observations].filter(([other]) => other !== upstream).map(([, { msPerToken }]) => msPerToken)
    others.sort((a, b) => a - b)
    return others[Math.floor(others.length / 2)]
  }

  return { observe, getSlowFactor, forget: (upstream) => { observations.delete(upstream) } }
}
