/** Frames that wait to go out on a stream; those of one turn of the event loop go as one message. */

export interface FrameQueueSettings<Frame> {
  /** Bytes that may wait at once; bounds what a reader that is slow or gone can cost. */
  readonly maxWaitingBytes: number
  readonly sizeOf: (frame: Frame) => number
}

export class FrameQueue<Frame> {
  private frames: Frame[] = []
  private waitingBytes = 0
  private ended = false
  private flushing = false
  private wake: (() => void) | undefined

  constructor (private readonly settings: FrameQueueSettings<Frame>) {}

  /** False, and nothing is queued, where the frame would exceed the bound. */
  push (frame: Frame): boolean {
    const bytes = this.settings.sizeOf(frame)
    if (this.waitingBytes + bytes > this.settings.maxWaitingBytes) return false
    this.frames.push(frame)
    this.waitingBytes += bytes
    this.flushSoon()
    return true
  }

  /** Counts bytes by which a frame that waits has grown; false where they exceed the bound. */
  grow (bytes: number): boolean {
    this.waitingBytes += bytes
    return this.waitingBytes <= this.settings.maxWaitingBytes
  }

  /** Takes back the frames that match and have not left. */
  remove (matches: (frame: Frame) => boolean): void {
    this.frames = this.frames.filter((frame) => !matches(frame))
    this.waitingBytes = this.frames.reduce((sum, frame) => sum + this.settings.sizeOf(frame), 0)
  }

  /** All that wait, which leave the queue by this. */
  take (): Frame[] {
    const taken = this.frames
    this.frames = []
    this.waitingBytes = 0
    return taken
  }

  /** Ends the iteration once what waits has been taken. */
  end (): void {
    this.ended = true
    this.flushSoon()
  }

  /** Batches in the order of their frames, each of at least one. */
  async * batches (): AsyncGenerator<Frame[]> {
    for (;;) {
      if (this.frames.length > 0) yield this.take()
      else if (this.ended) return
      else await new Promise<void>((resolve) => { this.wake = resolve })
    }
  }

  private flushSoon (): void {
    if (this.flushing || this.wake === undefined) return
    this.flushing = true
    setImmediate(() => {
      this.flushing = false
      this.wake?.()
      this.wake = undefined
    })
  }
}
