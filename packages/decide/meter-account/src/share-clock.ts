/** Time as it counts for an owner that may grant only a part of each limit: with half of the limit it passes at half speed. */

/** A clock that starts at a time in monotonic ms, perhaps in the future. */
export class ShareClock {
  private elapsedMs = 0
  private withheldMs = 0

  private updatedAt: number

  constructor (private startsAt: number, private share: number) {
    this.updatedAt = startsAt
  }

  /** Lets the clock begin earlier. */
  moveStart (at: number): void {
    if (at >= this.startsAt) return
    if (this.updatedAt > this.startsAt) this.elapsedMs += (this.startsAt - at) * this.share
    else this.updatedAt = at
    this.startsAt = at
  }

  /** Lets the time until `now` pass at the former share, and the time after that at the given one. */
  advance (now: number, share: number): void {
    const passedMs = Math.max(0, now - this.updatedAt)
    this.elapsedMs += passedMs * this.share
    this.withheldMs += passedMs * (1 - this.share)
    this.updatedAt = Math.max(this.updatedAt, now)
    this.share = share
  }

  /** Time that has passed on this clock, in ms. */
  get elapsed (): number {
    return this.elapsedMs
  }

  /** Time in which others may have used the rest of the limit, in ms: what has passed in real time but not on this clock. */
  get withheld (): number {
    return this.withheldMs
  }

  get currentShare (): number {
    return this.share
  }

  /** How long the clock will still stand, in ms. */
  getDelayMs (now: number): number {
    return Math.max(0, this.updatedAt - now)
  }
}
