/**
 * Notices upstreams that are slow while they report themselves healthy, from the times between the tokens of
 * one's own calls, compared with what is usual on the others.
 */
import type * as types from '@eelgrasswind/types'

export interface SlowUpstreamSettings {
  /** Weight of the newest observation, 0 to 1. */
  readonly newestShare: number
  /** Factors below this count as 1: batches differ in size. */
  readonly toleratedFactor: number
  /** Time after which an upstream without new observations is believed half as slow. */
  readonly halfLifeMs: number
}

export const defaultSlowUpstreamSettings: SlowUpstreamSettings = { newestShare: 0.3, toleratedFactor: 2.5, halfLifeMs: 10_000 }

export interface SlowUpstreamDetector {
  /** Tokens that came on one stream in a time, both since the last observation of it; no token counts as a part of one. */
  observe: (upstream: types.UpstreamId, tokens: number, elapsedMs: number, now: number) => void
  /** Time for each token as a multiple of what is usual among the others; 1 when it is not out of the ordinary. */
  getSlowFactor: (upstream: types.UpstreamId, now: number) => number
  forget: (upstream: types.UpstreamId) => void
}

interface Observation {
  msPerToken: number
  at: number
}

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
    // Without new observations it fades, so that an upstream that has recovered is tried again.
    const decay = 0.5 ** (Math.max(0, now - observed.at) / settings.halfLifeMs)
    return 1 + (rawFactor - 1) * decay
  }

  /** Median of the others. */
  function computeMedianOfOthers (upstream: types.UpstreamId): number | undefined {
    const others = [...observations].filter(([other]) => other !== upstream).map(([, { msPerToken }]) => msPerToken)
    others.sort((a, b) => a - b)
    return others[Math.floor(others.length / 2)]
  }

  return { observe, getSlowFactor, forget: (upstream) => { observations.delete(upstream) } }
}
