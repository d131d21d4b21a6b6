/** For tests: runs a command line as an operator would, in this process. */
import * as stream from 'node:stream'
import * as timerService from '@eelgrasswind/timer-service'
import * as runCli from './run-cli.js'

/** How a command ended and what it printed. */
export interface Operated {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/** Runs one command line. */
export async function operate (...args: readonly string[]): Promise<Operated> {
  const written = { stdout: '', stderr: '' }
  const sink = (name: 'stdout' | 'stderr'): stream.Writable => new stream.Writable({
    write (chunk: Buffer, _encoding, done) {
      written[name] += chunk.toString()
      done()
    }
  })
  const code = await runCli.runCli(args, {
    stdin: stream.Readable.from([]),
    stdout: sink('stdout'),
    stderr: sink('stderr'),
    env: {},
    colorDepth: 1,
    timers: timerService.createRealTimers()
  })
  return { code, ...written }
}
