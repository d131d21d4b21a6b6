/** A budget of bytes that the request bodies of a process share. */

/** Share of the memory of a process that bodies may hold: a body is held twice while it is joined, and freed memory is reused late. */
const memoryShare = 1 / 8
/** Memory of a process that was not told it, in MB. */
const defaultMemoryMb = 256
/** Bodies of the greatest size that always fit. */
const minBodies = 2
const bytesPerMb = 1_000_000

/** Bytes that all bodies of a process may hold together. `memoryMb`: memory of the process, in MB; `undefined` if it is not known. */
export function computeMaxBytes (memoryMb: number | undefined, maxBodyBytes: number): number {
  return Math.max(Math.floor((memoryMb ?? defaultMemoryMb) * bytesPerMb * memoryShare), minBodies * maxBodyBytes)
}

/** The bytes of one body in the budget. */
export interface BudgetedBody {
  readonly bytes: number
  /** Adds bytes that have arrived. If they exceed the budget, bodies are refused until they fit, which may be this one. */
  readonly add: (bytes: number) => void
  /** The body has arrived whole: it is not refused any more, and counts until it is released. */
  readonly complete: () => void
  /** Gives its bytes back; safe to call twice. What is added afterwards does not count. */
  readonly release: () => void
}

/** The bytes of all bodies, from their arrival to the end of their requests. */
export class BodyBudget {
  private readonly arriving = new Set<CountedBody>()
  private heldBytes = 0

  /** `maxBytes`: limit of all bodies together. */
  constructor (private maxBytes: number) {}

  get usedBytes (): number {
    return this.heldBytes
  }

  get limitBytes (): number {
    return this.maxBytes
  }

  /** Takes effect with the next bytes that arrive. */
  setMaxBytes (maxBytes: number): void {
    this.maxBytes = maxBytes
  }

  /** Begins a body. `onRefused` is called at most once, after its bytes were given back. */
  open (onRefused: (bytes: number) => void): BudgetedBody {
    const body = new CountedBody(this, onRefused)
    this.arriving.add(body)
    return body
  }

  /** Internal: counts bytes of a body. */
  hold (bytes: number): void {
    this.heldBytes += bytes
    while (this.heldBytes > this.maxBytes) {
      const largest = findLargest(this.arriving)
      if (largest === undefined) return
      largest.refuse()
    }
  }

  /** Internal: the body is not refused any more. */
  keep (body: CountedBody): void {
    this.arriving.delete(body)
  }

  /** Internal: gives the bytes of a body back. */
  giveBack (body: CountedBody, bytes: number): void {
    this.arriving.delete(body)
    this.heldBytes -= bytes
  }
}

/** The body that holds the most bytes, the newest of several; `undefined` if none holds any. */
function findLargest (bodies: Iterable<CountedBody>): CountedBody | undefined {
  let largest: CountedBody | undefined
  for (const body of bodies) {
    if (body.bytes > 0 && body.bytes >= (largest?.bytes ?? 0)) largest = body
  }
  return largest
}

class CountedBody implements BudgetedBody {
  private heldBytes = 0
  private isReleased = false

  constructor (private readonly budget: BodyBudget, private readonly onRefused: (bytes: number) => void) {}

  get bytes (): number {
    return this.heldBytes
  }

  add (bytes: number): void {
    if (this.isReleased) return
    this.heldBytes += bytes
    this.budget.hold(bytes)
  }

  complete (): void {
    this.budget.keep(this)
  }

  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.budget.giveBack(this, this.heldBytes)
    this.heldBytes = 0
  }

  refuse (): void {
    const { heldBytes } = this
    this.release()
    this.onRefused(heldBytes)
  }
}
