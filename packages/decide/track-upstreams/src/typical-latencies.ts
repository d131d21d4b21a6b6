/** Learns the typical latency of each route from its responses, to recognize slow ones. */

/** Weight of the newest response in the mean: it converges within about forty responses from any initial value. */
const newestWeight = 0.05
/** A response that takes this multiple of the mean is slow: about one in twenty by chance if latencies are exponentially distributed. */
const slowFactor = 3
/** Responses below this time, in ms, never count as slow: pauses of our own processes take as long. */
const minSlowMs = 120

/** Running mean latencies by route name. */
export class TypicalLatencies {
  private readonly meanMsByRoute = new Map<string, number>()

  /** Records the latency of a response and returns whether it was slow compared with the previous mean, which starts as `initialMeanMs`. All in ms. */
  observe (route: string, latencyMs: number, initialMeanMs: number): boolean {
    const mean = this.meanMsByRoute.get(route) ?? initialMeanMs
    const slowLimitMs = mean * slowFactor
    // Caps the latency at the limit for slow ones, so that outliers hardly move the mean.
    this.meanMsByRoute.set(route, mean + newestWeight * (Math.min(latencyMs, slowLimitMs) - mean))
    return latencyMs > Math.max(slowLimitMs, minSlowMs)
  }

  /** The mean latency in ms; `undefined` before the first response. */
  get (route: string): number | undefined {
    return this.meanMsByRoute.get(route)
  }
}
