/** Memory for bytes that are held for a while: what is given back is used again at once, and not when V8 has collected it. */

/** Small enough that a body of a few blocks leaves little of its last one unused. */
const blockBytes = 4_096
/** Blocks are cut from larger pieces of memory, which are kept. */
const slabBytes = 1_048_576

/** Blocks that are used again and again; there are as many as were ever used at a time. */
export class BlockPool {
  private readonly free: Buffer[] = []
  private takenCount = 0

  /** Memory of the blocks that are in use, in bytes. */
  get usedBytes (): number {
    return this.takenCount * blockBytes
  }

  /** Memory of all blocks, in bytes. */
  get totalBytes (): number {
    return (this.takenCount + this.free.length) * blockBytes
  }

  take (): Buffer {
    if (this.free.length === 0) this.addSlab()
    this.takenCount += 1
    return this.free.pop()!
  }

  /** The caller must not use the blocks any more. */
  giveBack (blocks: readonly Buffer[]): void {
    this.takenCount -= blocks.length
    this.free.push(...blocks)
  }

  private addSlab (): void {
    const slab = Buffer.allocUnsafeSlow(slabBytes)
    for (let start = 0; start < slabBytes; start += blockBytes) this.free.push(slab.subarray(start, start + blockBytes))
  }
}
