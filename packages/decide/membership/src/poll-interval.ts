/** How often a process may read the host list, so that the bytes it reads do not grow with the fleet. */

/** Bytes of one host in the list as JSON, as measured by the slope `host-list`. */
const entryBytes = 135

/** Bytes a second that one process spends on the host list; a part of its 11 KB/s for control. */
const bytesPerSecond = 4_000

/**
 * Milliseconds between two reads of a list of so many hosts, at least `leastMs`. Up to 30 hosts this is a second;
 * in a large fleet calls show leaving and dead hosts long before the list does, and only newcomers wait for it.
 */
export function computeHostListPollMs (hosts: number, minIntervalMs: number): number {
  return Math.max(minIntervalMs, Math.ceil(hosts * entryBytes / bytesPerSecond * 1_000))
}
