/** Finds out whether a process has ended, by whether one listens at its address. */
import * as net from 'node:net'
import * as timerService from '@eelgrasswind/timer-service'
import * as connectionEnd from './connection-end.js'
import * as openConnections from './open-connections.js'
import * as pendingEvents from './pending-events.js'

/** Outcome of a connection attempt. `refused` shows that the host is up and no process listens there. */
export type ConnectionProbe = 'accepted' | 'refused' | 'noAnswer'

/**
 * What an examination found. `unclear`: a new connection is taken, but no earlier one is left that would show that it is
 * still the same process. `unreachable`: the host takes no connection, so its process has ended as far as the caller can tell.
 */
export type ProcessEvidence = 'alive' | 'unclear' | 'ended' | 'unreachable'

/** Whether the process has ended, as far as the evidence shows. */
export function hasEnded (evidence: ProcessEvidence): boolean {
  return evidence === 'ended' || evidence === 'unreachable'
}

/** Delay before the examination, in ms: a process that ends closes its connections and its listener one after the other. */
const probeDelayMs = 5
/** Timeout of the connection attempt, in ms: a host that is up answers within one round trip, unless the accept queue of its process is full. */
const probeTimeoutMs = 60

const maxPort = 65_535

/** Limit of what may arrive on an idle connection, in bytes: some servers write why they close one. */
const maxIdleBytes = 16_384

/**
 * Examines whether the process at an address has ended, after a connection to it broke just now. One that takes a new
 * connection has ended if it closed all others at that moment: then another process has taken its place.
 */
export async function examineBreak (timers: timerService.TimerService, address: string, connections?: openConnections.OpenConnections): Promise<ProcessEvidence> {
  const before = connections?.takeSnapshot(address)
  await timerService.sleep(timers, probeDelayMs)
  await new Promise<void>((resolve) => { pendingEvents.afterPendingEvents(resolve) })
  const evidenceIfAccepted = before === undefined ? 'alive' : compare(before)
  switch (await probeConnection(address, probeTimeoutMs)) {
    case 'accepted': return evidenceIfAccepted
    case 'refused': return 'ended'
    case 'noAnswer': return 'unreachable'
  }
}

/** What the connections from before a break show about a process that takes connections now. */
function compare (before: openConnections.ConnectionSnapshot): ProcessEvidence {
  if (before.open.some(({ socket }) => !socket.destroyed && connectionEnd.getEndTime(socket) === undefined)) return 'alive'
  const closedSince = before.open.flatMap(({ socket, openedAt }) => {
    const closed = connectionEnd.getEndTime(socket)
    if (closed === undefined) return []
    // Closed at one moment with those before, although the end was read later.
    return { openedAt, closed: closed.at < before.takenAt.at ? closed : before.takenAt }
  })
  return openConnections.countClosedTogether([...before.closed, ...closedSince]) > 1 ? 'ended' : 'unclear'
}

/** Outcome of opening an idle connection; `close` closes it. */
export type IdleConnection = { readonly outcome: 'accepted', readonly close: () => void } | { readonly outcome: 'refused' | 'noAnswer' }

/** Opens a connection that stays idle, so that its end shows the end of the process at the address. `noAnswer` after the timeout, in ms, and for errors other than a refusal. */
export function openIdleConnection (address: string, timeoutMs: number, connections: openConnections.OpenConnections): Promise<IdleConnection> {
  return connect(address, timeoutMs, (socket) => {
    socket.on('error', () => {})
    // Without a reader the end of the connection is not noticed.
    socket.on('data', () => { if (socket.bytesRead > maxIdleBytes) socket.destroy() })
    connections.add(address, socket)
    return { outcome: 'accepted', close: () => { socket.destroy() } }
  })
}

/** Opens a connection and closes it at once. `noAnswer` after the timeout, in ms, and for errors other than a refusal. */
export async function probeConnection (address: string, timeoutMs: number): Promise<ConnectionProbe> {
  const { outcome } = await connect(address, timeoutMs, (socket): { readonly outcome: ConnectionProbe } => {
    socket.destroy()
    return { outcome: 'accepted' }
  })
  return outcome
}

/** Opens a connection and resolves with what `onConnect` returns for it. */
function connect<Accepted> (address: string, timeoutMs: number, onConnect: (socket: net.Socket) => Accepted): Promise<Accepted | { readonly outcome: 'refused' | 'noAnswer' }> {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  // Node.js throws for a port that can't be.
  if (!(port > 0 && port <= maxPort)) return Promise.resolve({ outcome: 'noAnswer' })
  return new Promise((resolve) => {
    const socket = net.connect({ host: address.slice(0, colon), port })
    let isConnected = false
    const fail = (outcome: 'refused' | 'noAnswer'): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ outcome })
    }
    const onError = (err: NodeJS.ErrnoException): void => { fail(err.code === 'ECONNREFUSED' ? 'refused' : 'noAnswer') }
    const onTimeout = (): void => { if (!isConnected) fail('noAnswer') }
    const timer = setTimeout(() => { pendingEvents.afterPendingEvents(onTimeout) }, timeoutMs)
    socket.on('error', onError)
    socket.on('connect', () => {
      isConnected = true
      clearTimeout(timer)
      socket.off('error', onError)
      resolve(onConnect(socket))
    })
  })
}
