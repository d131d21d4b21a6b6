/** Turns pieces that are pushed into an async iterable, as connect-es wants its streams. */

export interface PieceQueue<T> extends AsyncIterable<T> {
  push: (piece: T) => void
  end: () => void
}

export function createPieceQueue<T> (): PieceQueue<T> {
  let pieces: T[] = []
  let ended = false
  let wake: (() => void) | undefined

  function signal (): void {
    wake?.()
    wake = undefined
  }

  async function * iterate (): AsyncGenerator<T> {
    for (;;) {
      const ready = pieces
      pieces = []
      yield * ready
      if (pieces.length > 0) continue
      if (ended) return
      await new Promise<void>((resolve) => { wake = resolve })
    }
  }

  return {
    push (piece) {
      pieces.push(piece)
      signal()
    },
    end () {
      ended = true
      signal()
    },
    [Symbol.asyncIterator]: iterate
  }
}
