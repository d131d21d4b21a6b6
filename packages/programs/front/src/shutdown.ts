/** State of the graceful shutdown of a process. */

/** Whether a shutdown has begun, and when requests have to end. */
export class Shutdown {
  private endsAt: number | undefined

  /** Begins the shutdown. `endsAt`: when requests that have not ended are cut off, in monotonic ms. */
  begin (endsAt: number): void {
    this.endsAt = endsAt
  }

  get hasBegun (): boolean {
    return this.endsAt !== undefined
  }

  /** Whether a request with this deadline, in monotonic ms, ends before it would be cut off. */
  canFinish (deadlineAt: number): boolean {
    return this.endsAt === undefined || deadlineAt <= this.endsAt
  }
}
