/** Ends a test process that has nothing left to do. */

/**
 * Node 20 can spin for ever while it frees the handles of a process whose sockets were reset, after all JavaScript has
 * ended (seen in a debugger: Environment::CleanupHandles). Leaving by process.exit, with the exit code that the
 * runner has set, passes over that. Only once nothing is left to do: a first drain is the runner's.
 */
export function leaveWithoutCleanup (): void {
  let drains = 0
  process.on('beforeExit', () => {
    drains += 1
    if (drains > 1) process.exit()
    setImmediate(() => undefined)
  })
}
