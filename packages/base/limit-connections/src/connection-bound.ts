/** How many connections a listener may have open. */

/** Descriptors that stay free for files. */
const fileDescriptors = 200
/** Upper limit, for the memory of the connections: one may hold the whole of a head that is still incomplete. */
const maxClientConnections = 1_000
const minClientConnections = 32

/** Bound for a listener that serves clients: each of their requests may need another connection, to an upstream or a peer. */
export function getClientConnectionBound (maxDescriptors: number): number {
  return Math.min(maxClientConnections, Math.max(minClientConnections, Math.floor((maxDescriptors - fileDescriptors) / 2)))
}

/** Bound for a listener that serves health checks or metrics. */
export const maxProbeConnections = 32
