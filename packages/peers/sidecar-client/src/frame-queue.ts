/** Send queue of a stream. Batches the frames of one turn of the event loop into one message. */

export interface FrameQueueSettings<Frame> {
  /** Maximum total size of the queued frames in bytes; bounds the memory that a slow or lost reader can cost. */
  readonly maxWaitingBytes: number
  /** Estimated size of a frame in bytes; it need not be exact. */
  readonly estimateBytes: (frame: Frame) => number
}

/** First-in, first-out queue with a bound in bytes and one reader. */
export class FrameQueue<Frame> {
  private frames: Frame[] = []
  private waitingBytes = 0
  private isEnded = false
  private isFlushScheduled = false
  private wakeReader: (() => void) | undefined

  constructor (private readonly settings: FrameQueueSettings<Frame>) {}

  /** Queues a frame. Returns false and queues nothing if the frame would exceed the bound. */
  push (frame: Frame): boolean {
    const bytes = this.settings.estimateBytes(frame)
    if (this.waitingBytes + bytes > this.settings.maxWaitingBytes) return false
    this.frames.push(frame)
    this.waitingBytes += bytes
    this.scheduleFlush()
    return true
  }

  /** Accounts for bytes added to a queued frame. Returns false if they exceed the bound. */
  addWaitingBytes (bytes: number): boolean {
    this.waitingBytes += bytes
    return this.waitingBytes <= this.settings.maxWaitingBytes
  }

  /** Removes the queued frames that match. */
  remove (matches: (frame: Frame) => boolean): void {
    this.frames = this.frames.filter((frame) => !matches(frame))
    this.waitingBytes = this.frames.reduce((sum, frame) => sum + this.settings.estimateBytes(frame), 0)
  }

  /** Removes and returns all queued frames. */
  take (): Frame[] {
    const taken = this.frames
    this.frames = []
    this.waitingBytes = 0
    return taken
  }

  /** Ends the iteration of takeBatches after the queued frames are taken. */
  end (): void {
    this.isEnded = true
    this.scheduleFlush()
  }

  /** Yields batches of at least one frame, in the order in which they were queued, until the queue ends. */
  async * takeBatches (): AsyncGenerator<Frame[]> {
    for (;;) {
      if (this.frames.length > 0) yield this.take()
      else if (this.isEnded) return
      else await new Promise<void>((resolve) => { this.wakeReader = resolve })
    }
  }

  private scheduleFlush (): void {
    if (this.isFlushScheduled || this.wakeReader === undefined) return
    this.isFlushScheduled = true
    setImmediate(() => {
      this.isFlushScheduled = false
      this.wakeReader?.()
      this.wakeReader = undefined
    })
  }
}
