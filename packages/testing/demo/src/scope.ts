/** Remembers what to end, and ends it in reverse order. */

export interface Scope {
  readonly teardown: (run: () => unknown) => void
  readonly close: () => Promise<void>
}

export function createScope (): Scope {
  const runs: (() => unknown)[] = []
  return {
    teardown: (run) => { runs.push(run) },
    async close () {
      for (const run of runs.reverse()) await run()
    }
  }
}
