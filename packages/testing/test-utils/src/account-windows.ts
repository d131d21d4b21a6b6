/** Counts the requests of a client account in windows, as its limit is judged: a request counts once, if it was sent and run within the window. */

/** The limit of an account. */
export interface AccountLimit {
  readonly requestsPerSecond: number
  readonly burst: number
}

/** Times of one request, in ms. */
export interface RequestTimes {
  readonly sentAt: number
  /** When the first upstream began to run it. */
  readonly ranAt: number
}

/** The window with the most requests. */
export interface FullestWindow {
  /** Start of the window, in ms. */
  readonly from: number
  readonly count: number
}

/** Length of a window, in ms. */
const windowMs = 5_000
/** Part of the limit, and number of requests, by which a window may exceed it. */
const overshoot = 0.1
export const limitSlack = 20

/** The most requests that a window may hold. */
export function computeAllowedRequests ({ requestsPerSecond, burst }: AccountLimit): number {
  return (requestsPerSecond * windowMs / 1_000 + burst) * (1 + overshoot) + limitSlack
}

/** Finds the window with the most requests; one with a count of 0 if there are no requests. */
export function findFullestWindow (requests: readonly RequestTimes[]): FullestWindow {
  const sorted = [...requests].sort((a, b) => a.sentAt - b.sentAt)
  let fullest: FullestWindow = { from: 0, count: 0 }
  for (const [index, { sentAt: from }] of sorted.entries()) {
    const to = from + windowMs
    let count = 0
    for (let at = index; at < sorted.length && sorted[at]!.sentAt <= to; at += 1) {
      if (sorted[at]!.ranAt <= to) count += 1
    }
    if (count > fullest.count) fullest = { from, count }
  }
  return fullest
}
