/** Writes lines to a file descriptor without ever waiting for its reader. */
import * as fs from 'node:fs'

export interface BoundedLineWriter {
  /** Takes a line; drops it where too much is waiting already. */
  readonly write: (line: string) => void
  /** Lines that were dropped since the start. */
  readonly getDroppedCount: () => number
  /** Resolves when all that waits is written, or cannot be. */
  readonly flush: () => Promise<void>
}

/**
 * Lines that come within this time, in ms, go out in one write: a write wakes a thread of the pool and the loop again,
 * and a process of 170 lines a second makes 20 writes of them instead of 120. A process that is killed loses these lines.
 */
const gatherMs = 50
/** Bytes that may wait for a slow reader: some seconds of lines. */
const defaultMaxBytes = 1_000_000

/**
 * One write is under way at a time, on a thread of the runtime's pool: a full pipe holds that thread, never the loop.
 * A reader that stops reading costs lines; the next line that is written tells how many. The descriptor is one that the
 * runtime has opened, such as `process.stdout.fd`: a blocking pipe that nobody reads would hold the process at its exit.
 */
export function createBoundedLineWriter (fd: number, maxBytes = defaultMaxBytes): BoundedLineWriter {
  let waiting: string[] = []
  let waitingBytes = 0
  let writing = false
  let droppedLines = 0
  let untold = 0
  let gathering: NodeJS.Timeout | undefined
  const idle: (() => void)[] = []

  function write (line: string): void {
    if (waitingBytes + line.length > maxBytes) {
      droppedLines += 1
      untold += 1
      return
    }
    if (untold > 0) {
      const told = `${JSON.stringify({ event: 'linesDropped', count: untold, msg: 'standard output was not read in time' })}\n`
      untold = 0
      add(told)
    }
    add(line)
    if (writing) return
    writing = true
    gathering = setTimeout(next, gatherMs)
  }

  function add (line: string): void {
    waiting.push(line)
    waitingBytes += line.length
  }

  function next (): void {
    clearTimeout(gathering)
    gathering = undefined
    if (waiting.length === 0) {
      writing = false
      for (const resolve of idle.splice(0)) resolve()
      return
    }
    writing = true
    const chunk = Buffer.from(waiting.join(''))
    waiting = []
    waitingBytes = 0
    writeAll(chunk)
  }

  function writeAll (chunk: Buffer): void {
    fs.write(fd, chunk, (err, written) => {
      const code = err === null ? undefined : err.code
      if (code === 'EAGAIN') {
        setTimeout(() => { writeAll(chunk) }, 5).unref()
        return
      }
      // Nobody reads any more: nothing can be told, so the lines go.
      if (err !== null || written === chunk.length) next()
      else writeAll(chunk.subarray(written))
    })
  }

  return {
    write,
    getDroppedCount: () => droppedLines,
    flush () {
      if (!writing) return Promise.resolve()
      const done = new Promise<void>((resolve) => { idle.push(resolve) })
      if (gathering !== undefined) next()
      return done
    }
  }
}
