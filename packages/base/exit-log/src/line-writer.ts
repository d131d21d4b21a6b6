/** Writes a line to a file descriptor before the call returns. */
import * as fs from 'node:fs'

/** A full pipe is tried again this often, with a pause, before the rest of the line is lost. */
const maxAttempts = 20
const pauseMs = 5

/** Writes the line; gives up if the pipe stays full or its reader is gone, since a process must be able to end then. */
export function writeLine (fd: number, line: string): void {
  let rest = Buffer.from(`${line}\n`)
  for (let attempt = 0; attempt < maxAttempts && rest.length > 0; attempt += 1) {
    try {
      rest = rest.subarray(fs.writeSync(fd, rest))
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'EAGAIN') return
      pause(pauseMs)
    }
  }
}

/** Blocks the thread. */
function pause (ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, ms)
}
