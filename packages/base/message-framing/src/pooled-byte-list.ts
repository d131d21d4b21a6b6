/** Collects the chunks of a body or an answer in blocks of a pool. */
import type * as blockPool from './block-pool.js'
import * as byteList from './byte-list.js'

/** Bytes from which on blocks are used, so that at most a fifth of them stays unused. */
const minPooledBytes = 16_384

const emptyBody = Buffer.alloc(0)

/** Chunks in order, copied, so that the buffers they were read into are free at once. Release it, or its blocks are lost to the pool. */
export class PooledByteList {
  /** Chunks that are not in blocks yet. */
  private start = new byteList.ByteList()
  private blocks: Buffer[] = []
  private byteCount = 0
  /** Bytes of the last block that are used. */
  private lastUsedBytes = 0
  private isReleased = false

  constructor (private readonly pool: blockPool.BlockPool) {}

  /** Has no effect after `release`. */
  push (chunk: Buffer): void {
    if (this.isReleased) return
    this.byteCount += chunk.length
    if (this.blocks.length > 0) return this.copy(chunk)
    this.start.push(chunk)
    if (this.byteCount < minPooledBytes) return
    this.copy(this.start.concat())
    this.start = new byteList.ByteList()
  }

  get length (): number {
    return this.byteCount
  }

  /** All bytes, in few buffers, valid until `release`. */
  listParts (): Buffer[] {
    const last = this.blocks.at(-1)
    if (last === undefined) return [this.start.concat()]
    return [...this.blocks.slice(0, -1), last.subarray(0, this.lastUsedBytes)]
  }

  /** All bytes, which stay valid after `release`. */
  concat (): Buffer {
    if (this.isReleased) return emptyBody
    return this.blocks.length === 0 ? this.start.concat() : Buffer.concat(this.blocks, this.byteCount)
  }

  /** Gives the blocks back; safe to call twice. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.pool.giveBack(this.blocks)
    this.byteCount = 0
    this.blocks = []
    this.start = new byteList.ByteList()
  }

  private copy (chunk: Buffer): void {
    for (let copied = 0; copied < chunk.length;) {
      let last = this.blocks.at(-1)
      if (last === undefined || this.lastUsedBytes === last.length) {
        last = this.pool.take()
        this.blocks.push(last)
        this.lastUsedBytes = 0
      }
      const count = chunk.copy(last, this.lastUsedBytes, copied)
      copied += count
      this.lastUsedBytes += count
    }
  }
}
