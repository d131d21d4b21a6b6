/** Clients that keep to no limit: many connections to one port, opened by a process of their own. */
import * as childProcess from 'node:child_process'
import events from 'node:events'
import * as url from 'node:url'

/** What each connection of a crowd sends. */
export interface CrowdPlan {
  readonly port: number
  /** Number of connections. */
  readonly count: number
  /** Sent first; may be empty. */
  readonly head: string
  /** Sent `repeats` times after it, each in a write of its own. */
  readonly repeated: string
  readonly repeats: number
  /** Whether answers are read. */
  readonly reads: boolean
  /** Whether a connection counts as opened only once an answer has begun. */
  readonly awaitsAnswer: boolean
  /** Time without progress after which a connection stops sending, in ms; it stays open. */
  readonly stallMs: number
  /** Of so many connections one leaves early. */
  readonly leavesEach: number
  /** Whether what follows the heads is sent only once `sendRest` is called. */
  readonly waits: boolean
}

/** A running crowd; its connections are open until it leaves. */
export interface Crowd {
  /** Lets a crowd that waits send on: all connections at the same moment. */
  readonly sendRest: () => void
  readonly leave: () => Promise<void>
}

const main = url.fileURLToPath(new URL('./crowd-main.js', import.meta.url))
const defaults = { head: '', repeated: '', repeats: 0, reads: true, awaitsAnswer: false, stallMs: 500, leavesEach: 6, waits: false }

/** Resolves once each connection has sent its bytes, or those before the wait, or has ended, and a part of them has left. */
export async function startCrowd (plan: Partial<CrowdPlan> & Pick<CrowdPlan, 'port' | 'count'>): Promise<Crowd> {
  const child = childProcess.spawn(process.execPath, [main, JSON.stringify({ ...defaults, ...plan })], { stdio: ['pipe', 'pipe', 'inherit'] })
  const exited = events.once(child, 'exit')
  const leave = async (): Promise<void> => {
    child.stdin.end()
    await exited
  }
  const sent = events.once(child.stdout, 'data')
  const first = await Promise.race([sent.then(() => 'sent'), exited.then(() => 'exited')])
  if (first === 'exited') throw new Error('the crowd has ended before it has sent everything')
  return { sendRest: () => { child.stdin.write('rest\n') }, leave }
}
