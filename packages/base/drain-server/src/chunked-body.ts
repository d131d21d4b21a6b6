/** Finds the end of a body in chunks by the sizes of its chunks, whatever they hold. */
import * as messageEnd from './message-end.js'

const lineFeed = 10
const carriageReturn = 13

/** What comes next. After `odd` bytes, which the parser refuses or takes in another way, each blank line counts as an end. */
type Expected = 'size' | 'sizeLineEnd' | 'content' | 'contentEnd' | 'trailers' | 'odd'

/** A body whose bytes come in any parts. */
export class ChunkedBody {
  private expected: Expected = 'size'
  /** Size of the chunk as far as it was read, or bytes of its content that are still to come. */
  private chunkBytes = 0
  private hasDigit = false
  private readonly blankLine = new messageEnd.BlankLineFinder()

  /** The next bytes are the first ones of a body. */
  reset (): void {
    this.expect('size')
  }

  /** Number of bytes up to the end of the body; all of them if it does not end among them. */
  findEnd (bytes: Buffer): number {
    let index = 0
    while (index < bytes.length) {
      if (this.expected === 'trailers' || this.expected === 'odd') return index + this.blankLine.find(bytes.subarray(index))
      index = this.skip(bytes, index)
    }
    return bytes.length
  }

  /** Index behind what was expected at `index`, as far as it has come. */
  private skip (bytes: Buffer, index: number): number {
    switch (this.expected) {
      case 'size': return this.readDigit(bytes, index)
      case 'sizeLineEnd': return this.skipSizeLine(bytes, index)
      case 'content': return this.skipContent(bytes, index)
      case 'contentEnd': return this.skipContentEnd(bytes, index)
      case 'trailers':
      case 'odd': return index
    }
  }

  private expect (expected: Expected): void {
    this.expected = expected
    if (expected === 'trailers') this.blankLine.reset('lineFeed')
    if (expected === 'odd') this.blankLine.reset('none')
    if (expected !== 'size') return
    this.chunkBytes = 0
    this.hasDigit = false
  }

  private readDigit (bytes: Buffer, index: number): number {
    const digit = getHexDigit(bytes[index]!)
    if (digit === undefined) {
      this.expect(this.hasDigit ? 'sizeLineEnd' : 'odd')
      return index
    }
    this.hasDigit = true
    this.chunkBytes = this.chunkBytes * 16 + digit
    if (!Number.isSafeInteger(this.chunkBytes)) this.expect('odd')
    return index + 1
  }

  /** The rest of the line is its extension, which holds no line end. */
  private skipSizeLine (bytes: Buffer, index: number): number {
    const lineEnd = bytes.indexOf(lineFeed, index)
    if (lineEnd === -1) return bytes.length
    this.expect(this.chunkBytes === 0 ? 'trailers' : 'content')
    return lineEnd + 1
  }

  private skipContent (bytes: Buffer, index: number): number {
    const skipped = Math.min(this.chunkBytes, bytes.length - index)
    this.chunkBytes -= skipped
    if (this.chunkBytes === 0) this.expect('contentEnd')
    return index + skipped
  }

  private skipContentEnd (bytes: Buffer, index: number): number {
    if (bytes[index] === carriageReturn) return index + 1
    this.expect(bytes[index] === lineFeed ? 'size' : 'odd')
    return bytes[index] === lineFeed ? index + 1 : index
  }
}

function getHexDigit (byte: number): number | undefined {
  if (byte >= 48 && byte <= 57) return byte - 48
  const letter = byte | 32
  return letter >= 97 && letter <= 102 ? letter - 87 : undefined
}
