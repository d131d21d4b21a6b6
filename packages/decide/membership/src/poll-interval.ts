/** Poll interval of the host list, chosen so that the bytes read per second do not grow with the fleet. */

/** Size of one host in the JSON list, in bytes (see the benchmark `host-list`). */
const entryBytes = 135

/** Bytes per second that a process reads for the host list; a part of its 11 KB/s of control traffic. */
const bytesPerSecond = 4_000

/**
 * Returns the poll interval for a list of `hosts` entries in milliseconds, at least `minIntervalMs`. Up to 30 hosts it
 * is one second. In large fleets calls reveal leaving and failed hosts long before the list does, so that only new hosts
 * depend on it.
 */
export function computeHostListPollMs (hosts: number, minIntervalMs: number): number {
  return Math.max(minIntervalMs, Math.ceil(hosts * entryBytes / bytesPerSecond * 1_000))
}
