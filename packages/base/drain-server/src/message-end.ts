/** Finds where a message on an HTTP/1.1 connection may end, without parsing it. */

const lineFeed = 10
const carriageReturn = 13

function isLineEnd (byte: number | undefined): boolean {
  return byte === lineFeed || byte === carriageReturn
}

/** Whether the line that begins at `index` is empty. */
function isBlankLine (bytes: Buffer, index: number): boolean {
  if (bytes[index] === carriageReturn) return bytes[index + 1] === lineFeed
  return bytes[index] === lineFeed
}

/**
 * Number of bytes up to the end of the first blank line, and of those that follow it directly: heads, trailers and bodies
 * in chunks end with one. All bytes if there is none.
 */
export function findBlankLine (bytes: Buffer): number {
  let lineEnd = bytes.indexOf(lineFeed)
  while (lineEnd !== -1 && !isBlankLine(bytes, lineEnd + 1)) lineEnd = bytes.indexOf(lineFeed, lineEnd + 1)
  if (lineEnd === -1) return bytes.length
  let end = lineEnd + 1
  while (isLineEnd(bytes[end])) end += 1
  return end
}

/** What the bytes before a part end with, as far as a blank line may begin there. */
export type Tail = 'none' | 'lineFeed' | 'carriageReturn'

/** Finds the end of a head, or of the trailers of a body in chunks, that comes in several reads. */
export class BlankLineFinder {
  private tail: Tail = 'none'

  /** Goes on behind bytes that end with `tail`. */
  reset (tail: Tail): void {
    this.tail = tail
  }

  /** As `findBlankLine`; the blank line may begin in the bytes before. */
  find (bytes: Buffer): number {
    const end = this.findSplitLine(bytes) ?? findBlankLine(bytes)
    this.tail = end < bytes.length ? 'none' : getTail(bytes, this.tail)
    return end
  }

  private findSplitLine (bytes: Buffer): number | undefined {
    if (this.tail === 'none') return undefined
    if (bytes[0] === lineFeed) return 1
    return this.tail === 'lineFeed' && isBlankLine(bytes, 0) ? 2 : undefined
  }
}

function getTail (bytes: Buffer, before: Tail): Tail {
  const last = bytes.length - 1
  if (bytes[last] === lineFeed) return 'lineFeed'
  const isLineStart = last === 0 ? before === 'lineFeed' : bytes[last - 1] === lineFeed
  return bytes[last] === carriageReturn && isLineStart ? 'carriageReturn' : 'none'
}
