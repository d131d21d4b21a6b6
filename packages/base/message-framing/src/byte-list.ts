/** Collects the chunks of a body. */

/** As many chunks are joined if they are small, so that a body in chunks of one byte costs little more than its bytes. */
const joinedCount = 64
/** Chunks that have fewer bytes together are joined. */
const minJoinedBytes = 65_536

const emptyBody = Buffer.alloc(0)

/** Chunks in order. An object costs about a hundred bytes, and keeps the whole buffer that its chunk was read into. */
export class ByteList {
  private readonly parts: Buffer[] = []
  /** The last parts, which were not considered for joining yet. */
  private newCount = 0
  private newBytes = 0

  push (chunk: Buffer): void {
    this.parts.push(chunk)
    this.newCount += 1
    this.newBytes += chunk.length
    if (this.newCount < joinedCount) return
    if (this.newBytes < minJoinedBytes) this.parts.push(Buffer.concat(this.parts.splice(-joinedCount)))
    this.newCount = 0
    this.newBytes = 0
  }

  /** All bytes; a single chunk is not copied. */
  concat (): Buffer {
    if (this.parts.length === 0) return emptyBody
    return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts)
  }
}
