/** Keeps a process alive whose output nobody reads any more. */

/** Ignores errors of standard output and error, such as EPIPE: without a listener they end the process, and there is nowhere to report them. */
export function ignoreOutputErrors (): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {})
}
