/** Faults that a stand-in is told to show: the next time, for some requests, or until cleared. */

export interface FaultOptions {
  /** Only for requests of this scope: a stream, a path or a session; without it, for all. */
  readonly scope?: string | undefined
  /** How many requests it strikes; without it, until cleared. */
  readonly times?: number | undefined
}

export interface Faults<Fault> {
  /** Adds a fault behind those already set. */
  set: (fault: Fault, options?: FaultOptions) => void
  /** Drops all faults and releases the requests that wait for it. */
  clear: () => void
  /** The first fault for a request of that scope that `strikes`; uses up one of its times. */
  take: (scope: string, strikes?: (fault: Fault) => boolean) => Fault | undefined
  /** How many faults are set and have not used up their times. */
  active: () => number
  /** Resolves at the next clear. */
  cleared: () => Promise<void>
}

interface Rule<Fault> {
  readonly fault: Fault
  readonly scope: string | undefined
  left: number
}

export function createFaults<Fault> (): Faults<Fault> {
  let rules: Rule<Fault>[] = []
  let waiting: (() => void)[] = []

  function set (fault: Fault, options: FaultOptions = {}): void {
    rules.push({ fault, scope: options.scope, left: options.times ?? Infinity })
  }

  function clear (): void {
    const released = waiting
    rules = []
    waiting = []
    for (const resolve of released) resolve()
  }

  function take (scope: string, strikes: (fault: Fault) => boolean = () => true): Fault | undefined {
    const rule = rules.find((one) => (one.scope === undefined || one.scope === scope) && strikes(one.fault))
    if (rule === undefined) return undefined
    rule.left -= 1
    if (rule.left <= 0) rules = rules.filter((one) => one !== rule)
    return rule.fault
  }

  function cleared (): Promise<void> {
    return new Promise((resolve) => { waiting.push(resolve) })
  }

  return { set, clear, take, active: () => rules.length, cleared }
}
