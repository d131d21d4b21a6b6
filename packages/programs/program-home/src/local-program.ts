/** A program whose home is this process. */
import type * as limitClient from '@eelgrasswind/limit-client'
import type * as programState from '@eelgrasswind/program-state'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as runningCalls from './running-call.js'

/** Decisions kept for each program. */
const maxDecisions = 60

export class LocalProgram {
  readonly running = new Map<types.RequestKey, runningCalls.RunningCall>()
  /** Reserved for idempotent calls under way; intents are counted by the state. */
  reserved: types.Usage = noUsage
  /** Used by attempts that left no record. */
  unrecorded: types.Usage = noUsage
  lastUpstream: types.UpstreamId | undefined
  lastHost: types.HostId | undefined
  cachedTokens = 0
  lastEndedAt: number | undefined
  /** Set while the program is on its way to another home; it takes no new calls. */
  releasing = false
  wallLimit: timerService.Subscription | undefined
  private readonly decisions: types.Decision[] = []
  private appending: Promise<unknown> = Promise.resolve()
  private idleWaiters: (() => void)[] = []

  constructor (readonly state: programState.ProgramState, public retryBudget: limitClient.RetryBudget) {}

  get id (): types.ProgramId {
    return this.state.start.program
  }

  note (decision: types.Decision): void {
    this.decisions.push(decision)
    if (this.decisions.length > maxDecisions) this.decisions.shift()
  }

  decisionsTaken (): readonly types.Decision[] {
    return this.decisions
  }

  /** Runs one append after another, so that each record names the place after the one before. */
  async inOrder<T> (append: () => Promise<T>): Promise<T> {
    const turn = this.appending.then(append)
    this.appending = turn.catch(() => undefined)
    return await turn
  }

  end (key: types.RequestKey): void {
    this.running.delete(key)
    if (this.running.size > 0) return
    for (const wake of this.idleWaiters.splice(0)) wake()
  }

  /** Resolves when no call is under way. */
  idle (): Promise<void> {
    if (this.running.size === 0) return Promise.resolve()
    return new Promise((resolve) => { this.idleWaiters.push(resolve) })
  }
}

export const noUsage: types.Usage = { tokens: 0, calls: 0, microCost: 0 }

export function addUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens + b.tokens, calls: a.calls + b.calls, microCost: a.microCost + b.microCost }
}

export function lessUsage (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens - b.tokens, calls: a.calls - b.calls, microCost: a.microCost - b.microCost }
}
