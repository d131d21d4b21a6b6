/**
 * How long an upstream may leave a request without any sign before it is taken for silent. It answers two patterns: a
 * host that lost its power closes no connection, so that whoever waits there loses the whole limit; and engines with too
 * much to do let every request wait, so that a limit made for calm hours takes busy engines for dead. What is then
 * cancelled has to be read again elsewhere, by engines that have too much to do as well.
 */

/** What the limit depends on; times in ms. */
export interface SilenceInput {
  /** Objective of the route for the first sign. */
  readonly objectiveMs: number
  /** What the first sign on this route has usually taken lately, as far as it is known. */
  readonly usualMs: number | undefined
}

/** Beyond this many times the objective something is wrong, or there is too much to do. */
const silentObjectives = 1.5
/**
 * Beyond this many times the usual time. Where first signs take 50 to 250 ms at the mean, a tenth takes 2.5 to 3 times
 * that; with 500 ms as the limit 3 in 100 requests at busy engines were cancelled though no engine was lost.
 */
const silentUsuals = 4
/** The least and the most, in ms: a queue of short requests, and a client's patience. */
const minSilentMs = 500
const maxSilentMs = 1_000

/** Time until an upstream without a sign is taken for silent, in ms. */
export function silentAfterMs ({ objectiveMs, usualMs = 0 }: SilenceInput): number {
  return Math.min(maxSilentMs, Math.max(minSilentMs, objectiveMs * silentObjectives, usualMs * silentUsuals))
}
