/** In-memory state of a program whose home is this process. */
import type * as limitClient from '@eelgrasswind/limit-client'
import type * as programState from '@eelgrasswind/program-state'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as runningCalls from './running-call.js'

/** Latest decisions kept per program. */
const maxDecisions = 60

/** The program's recorded state with its calls in flight, reservations and cache location. */
export class LocalProgram {
  readonly runningCalls = new Map<types.RequestKey, runningCalls.RunningCall>()
  /** Usage reserved for calls in flight, without those with an open intent, which the program state counts. */
  reserved: types.Usage = zeroUsage
  /** Upper bound of the usage of failed attempts that left no record. */
  unrecordedUsage: types.Usage = zeroUsage
  /** Upstream and host of the last answered model call, whose cache may hold the program's prefix. */
  lastUpstream: types.UpstreamId | undefined
  lastHost: types.HostId | undefined
  /** Length of that prefix in tokens. */
  cachedTokens = 0
  /** End of the last call on the wall clock, in milliseconds; cleared when the next one starts. */
  lastCallEndedAt: number | undefined
  /** True while the program finishes or moves to another home; it accepts no new calls. */
  isReleasing = false
  wallTimeout: timerService.Subscription | undefined
  private readonly decisions: types.Decision[] = []
  private lastAppend: Promise<unknown> = Promise.resolve()
  private idleWaiters: (() => void)[] = []

  constructor (readonly state: programState.ProgramState, public retryBudget: limitClient.RetryBudget) {}

  get id (): types.ProgramId {
    return this.state.start.program
  }

  recordDecision (decision: types.Decision): void {
    this.decisions.push(decision)
    if (this.decisions.length > maxDecisions) this.decisions.shift()
  }

  /** The latest decisions, oldest first. */
  getDecisions (): readonly types.Decision[] {
    return this.decisions
  }

  /** Serializes the appends of the program, so that each record gets the chain position after the last one. */
  async runInOrder<T> (append: () => Promise<T>): Promise<T> {
    const result = this.lastAppend.then(append)
    this.lastAppend = result.catch(() => undefined)
    return await result
  }

  /** Removes a call that has ended. Wakes `waitUntilIdle` if it was the last one. */
  removeCall (key: types.RequestKey): void {
    this.runningCalls.delete(key)
    if (this.runningCalls.size > 0) return
    for (const wake of this.idleWaiters.splice(0)) wake()
  }

  /** Resolves when no call is in flight. */
  waitUntilIdle (): Promise<void> {
    if (this.runningCalls.size === 0) return Promise.resolve()
    return new Promise((resolve) => { this.idleWaiters.push(resolve) })
  }
}

export const zeroUsage: types.Usage = { tokens: 0, calls: 0, microCost: 0 }

export function addUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens + b.tokens, calls: a.calls + b.calls, microCost: a.microCost + b.microCost }
}

export function subtractUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens - b.tokens, calls: a.calls - b.calls, microCost: a.microCost - b.microCost }
}
