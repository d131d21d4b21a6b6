/** Limits the memory of answers that are held until they are whole, and leaves what is left to those that wait for clients to read them. */
import * as messageFraming from '@eelgrasswind/message-framing'

/** Limit of all held answers together, in bytes: a small part of the memory of the smallest hosts. */
const maxTotalBytes = 33_554_432
/** Up to this size, in bytes, an answer is held whatever others hold, so that a few large ones refuse no ordinary one. */
const alwaysHeldBytes = 65_536

/** Bytes of all answers that this process holds. */
export class HeldAnswers {
  private totalBytes = 0
  /** For the bytes of large answers. */
  readonly pool = new messageFraming.BlockPool()
  private lessListener: (() => void) | undefined

  /** What answers that wait for clients may hold, in bytes: those that arrive come first. */
  get freeBytes (): number {
    return maxTotalBytes - this.totalBytes
  }

  /** Sets the listener that is called when a large answer that arrives has lowered `freeBytes`. */
  onLess (listener: () => void): void {
    this.lessListener = listener
  }

  /** Creates an answer without bytes. */
  hold (): HeldAnswer {
    let heldBytes = 0
    return {
      tryAdd: (bytes) => {
        if (heldBytes + bytes > alwaysHeldBytes && this.totalBytes + bytes > maxTotalBytes) return false
        heldBytes += bytes
        this.totalBytes += bytes
        if (heldBytes > alwaysHeldBytes) this.lessListener?.()
        return true
      },
      release: () => {
        this.totalBytes -= heldBytes
        heldBytes = 0
      }
    }
  }
}

/** The bytes of one answer. */
export interface HeldAnswer {
  /** Counts further bytes; returns false if they can't be held. */
  readonly tryAdd: (bytes: number) => boolean
  /** Counts no bytes any more. */
  readonly release: () => void
}
