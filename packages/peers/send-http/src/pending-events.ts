/** Lets network events that arrived during a stall of this process be handled before a timeout is believed. */

/**
 * Calls back after the network events that have arrived so far. After a stall the event loop runs the timers that are due
 * before these events, so that an answer that arrived in time looks like none.
 */
export function afterPendingEvents (run: () => void): void {
  setImmediate(run)
}
