/** Exit codes of the binary; docs/operators.md lists them. */
export const exitCode = {
  ok: 0,
  /** A file has errors, a change was refused, or what was asked for does not exist. */
  refused: 1,
  /** The command line is wrong or a file cannot be read. */
  usage: 2,
  /** The platform or every host asked was out of reach; nothing was changed. */
  unavailable: 3,
  /** A change was sent and its fate could not be learnt. */
  unknown: 4,
  /** A fault of this command itself. */
  internal: 5
} as const

export type ExitCode = typeof exitCode[keyof typeof exitCode]
