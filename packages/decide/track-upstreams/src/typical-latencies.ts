/** What each kind of request usually takes, learnt from answers, so that slow ones can be told. */

/** Weight of one answer in the mean: some forty answers until it is learnt, whatever it began with. */
const newestWeight = 0.05
/** An answer that takes this many times the usual is slow: by chance about one in twenty, where times are exponential. */
const slowFactor = 3
/** Nothing below this, in ms, is called slow: pauses of our own processes take as long. */
const minSlowMs = 120

/** Running means by name of the route. */
export class TypicalLatencies {
  private readonly meanMsByRoute = new Map<string, number>()

  /** Takes the time of one answer in; returns whether it was slow against the mean before. Initial: the time to begin with. All in ms. */
  observe (route: string, latencyMs: number, initialMeanMs: number): boolean {
    const mean = this.meanMsByRoute.get(route) ?? initialMeanMs
    const slowLimitMs = mean * slowFactor
    // One answer moves the mean by no more than what still counts as usual.
    this.meanMsByRoute.set(route, mean + newestWeight * (Math.min(latencyMs, slowLimitMs) - mean))
    return latencyMs > Math.max(slowLimitMs, minSlowMs)
  }

  /** The usual time in ms; `undefined` before the first answer. */
  get (route: string): number | undefined {
    return this.meanMsByRoute.get(route)
  }
}
