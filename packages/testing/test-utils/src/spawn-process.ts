/** Starts a program of the project as a process, and ends it with the test. */
import * as childProcess from 'node:child_process'
import * as readline from 'node:readline'
import type * as stream from 'node:stream'
import type * as testScope from './test-scope.js'

/** The JSON line by which a process says that it is ready. */
export interface ReadyLine {
  readonly ready: true
  readonly address?: string
  readonly [member: string]: unknown
}

export interface SpawnedProcess {
  readonly pid: number
  readonly ready: ReadyLine
  /** Lines of standard output and error so far, newest last; older ones are dropped. */
  readonly output: () => readonly string[]
  /** Ends it without warning, as a lost host does. */
  readonly kill: () => Promise<void>
  /** Asks it to shut down gracefully; gives its exit code, or null where a signal ended it. */
  readonly stop: () => Promise<number | null>
  /** Sends a signal that it handles itself. */
  readonly signal: (name: 'SIGHUP' | 'SIGTERM' | 'SIGINT') => void
  /** Stops it from running, as a long pause of its machine does. */
  readonly pause: () => void
  readonly resume: () => void
  /** Resolves with the exit code once it has ended. */
  readonly exited: Promise<number | null>
}

export interface SpawnOptions {
  /** Arguments before the settings. */
  readonly args?: readonly string[]
  readonly readyTimeoutMs?: number
  /** Limit of its open descriptors, enforced by the kernel; undefined for that of this process. */
  readonly maxDescriptors?: number | undefined
}

type Child = childProcess.ChildProcessByStdio<null, stream.Readable, stream.Readable>

const defaultReadyTimeoutMs = 30_000
const keptLines = 500

function isReadyLine (value: unknown): value is ReadyLine {
  return typeof value === 'object' && value !== null && (value as { ready?: unknown }).ready === true
}

function parseReady (line: string): ReadyLine | undefined {
  if (!line.startsWith('{')) return undefined
  try {
    const value: unknown = JSON.parse(line)
    return isReadyLine(value) ? value : undefined
  } catch {
    return undefined
  }
}

interface Lines {
  readonly kept: string[]
  /** Called with each line as it comes. */
  onLine: (line: string) => void
}

function keepLines (child: Child): Lines {
  const lines: Lines = { kept: [], onLine: () => {} }
  for (const input of [child.stdout, child.stderr]) {
    readline.createInterface({ input }).on('line', (line) => {
      lines.kept.push(line)
      if (lines.kept.length > keptLines) lines.kept.shift()
      lines.onLine(line)
    })
  }
  return lines
}

function waitForReady (child: Child, lines: Lines, timeoutMs: number): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    const fail = (why: string): void => reject(new Error(`the process ${why}:\n${lines.kept.join('\n')}`))
    const timer = setTimeout(() => fail('is not ready in time'), timeoutMs)
    child.once('error', reject)
    child.once('close', () => {
      clearTimeout(timer)
      fail('ended before it was ready')
    })
    lines.onLine = (line) => {
      const ready = parseReady(line)
      if (ready === undefined) return
      clearTimeout(timer)
      resolve(ready)
    }
  })
}

/**
 * Runs `node FILE [ARGS] [SETTINGS]`, with the settings, unless undefined, as one JSON argument, and waits for the line of JSON with
 * `"ready": true` on its output. The process is killed, by its id, when the test ends.
 */
export async function spawnProcess (t: testScope.TestScope, file: string, settings: unknown, options: SpawnOptions = {}): Promise<SpawnedProcess> {
  const args = [file, ...(options.args ?? []), ...(settings === undefined ? [] : [JSON.stringify(settings)])]
  const command = options.maxDescriptors === undefined ? [process.execPath] : ['/bin/sh', '-c', `ulimit -n ${options.maxDescriptors} && exec "$0" "$@"`, process.execPath]
  const child = childProcess.spawn(command[0]!, [...command.slice(1), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const exited = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
  const kill = async (): Promise<void> => {
    child.kill('SIGKILL')
    await exited
  }
  t.teardown(kill)
  const lines = keepLines(child)
  const ready = await waitForReady(child, lines, options.readyTimeoutMs ?? defaultReadyTimeoutMs)

  async function stop (): Promise<number | null> {
    child.kill('SIGTERM')
    return await exited
  }

  return {
    pid: child.pid!,
    ready,
    output: () => lines.kept,
    kill,
    stop,
    signal: (name) => { child.kill(name) },
    pause: () => { child.kill('SIGSTOP') },
    resume: () => { child.kill('SIGCONT') },
    exited
  }
}
