/** Writes decisions as log lines within a budget, and counts all of them. */
import type * as logger from '@eelgrasswind/logger'
import * as decisions from './decisions.js'

/** Where parts of a process tell what they decided. */
export interface DecisionLog {
  readonly record: (decision: decisions.Decision) => void
}

/** What a decision log needs from its process. */
export interface DecisionLogPorts {
  readonly logger: logger.Logger
  /** Counts every decision, also those that are not written. */
  readonly countDecision: (decision: decisions.Decision) => void
  /** Monotonic ms. */
  readonly now: () => number
}

/** Lines a second that are always written, and that a burst may be ahead: four lines each for 15 requests a second. */
const linesPerSecond = 60
const burstLines = 240
/** What shows a failure or a change of belief may take this many times the budget: it is rare but in a storm. */
const importantFactor = 12

/** Lines of the ordinary way of a request, the first to go when there are too many. */
const ordinary: ReadonlySet<decisions.DecisionEvent> = new Set<decisions.DecisionEvent>(['routed', 'passedOn', 'turnAdmitted', 'sent'])

/** A log that writes within its budget of lines and counts everything. */
export function createDecisionLog (ports: DecisionLogPorts): DecisionLog {
  const everyday = new LineBudget(linesPerSecond, burstLines, ports.now)
  const important = new LineBudget(linesPerSecond * importantFactor, burstLines * importantFactor, ports.now)
  const left = new Map<decisions.DecisionEvent, number>()

  function note (decision: decisions.Decision): void {
    ports.countDecision(decision)
    const budget = isOrdinary(decision) ? everyday : important
    if (!budget.take()) {
      left.set(decision.event, (left.get(decision.event) ?? 0) + 1)
      return
    }
    if (left.size > 0 && budget === important) tellLeft()
    const { level, message } = decisions.eventTable[decision.event]
    ports.logger[level]({ ...decision }, message)
  }

  function tellLeft (): void {
    ports.logger.warn({ event: 'linesLeftOut', counts: Object.fromEntries(left) }, 'lines were left out, these are their counts')
    left.clear()
  }

  return { record: note }
}

function isOrdinary (decision: decisions.Decision): boolean {
  return ordinary.has(decision.event) || (decision.event === 'ended' && decision.outcome === 'whole')
}

/** For tests and tools that want none. */
export function createSilentDecisionLog (): DecisionLog {
  return { record: () => {} }
}

/** A token bucket of lines. */
class LineBudget {
  private lines: number
  private filledAt: number

  constructor (private readonly perSecond: number, private readonly most: number, private readonly now: () => number) {
    this.lines = most
    this.filledAt = now()
  }

  take (): boolean {
    const now = this.now()
    this.lines = Math.min(this.most, this.lines + (now - this.filledAt) * this.perSecond / 1_000)
    this.filledAt = now
    if (this.lines < 1) return false
    this.lines -= 1
    return true
  }
}
