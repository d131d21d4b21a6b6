/** Limits the memory of answers that are held until they are whole. */

/** Limit of all held answers together, in bytes: a small part of the memory of the smallest hosts. */
const maxTotalBytes = 33_554_432
/** Up to this size, in bytes, an answer is held whatever others hold, so that a few large ones refuse no ordinary one. */
const alwaysHeldBytes = 65_536

/** Bytes of all answers that this process holds. */
export class HeldAnswers {
  private totalBytes = 0

  /** Creates an answer without bytes. */
  hold (): HeldAnswer {
    let heldBytes = 0
    return {
      tryAdd: (bytes) => {
        if (heldBytes + bytes > alwaysHeldBytes && this.totalBytes + bytes > maxTotalBytes) return false
        heldBytes += bytes
        this.totalBytes += bytes
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
