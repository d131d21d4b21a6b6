/** How tests start Node.js programs. */

/** A command and its arguments for `child_process.spawn`. */
export interface Command {
  readonly file: string
  readonly args: readonly string[]
}

/**
 * Runs Node.js without the modules that the test runner preloads in all processes below it: their signal handlers would
 * stand for those of the program. `env` replaces itself with Node.js, so the process id is that of the program.
 */
export function createNodeCommand (args: readonly string[]): Command {
  return { file: 'env', args: ['-u', 'NODE_OPTIONS', process.execPath, ...args] }
}
