/** Writes decisions as log lines, limits their rate, and counts all decisions. */
import type * as logger from '@eelgrasswind/logger'
import * as decisions from './decisions.js'

/** Receives the decisions of a process. */
export interface DecisionLog {
  readonly record: (decision: decisions.Decision) => void
}

/** Dependencies of a decision log. */
export interface DecisionLogPorts {
  readonly logger: logger.Logger
  /** Counts every decision, including those whose line is omitted. */
  readonly countDecision: (decision: decisions.Decision) => void
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Rate limit of lines: 60 per second is four lines each for 15 requests a second. */
const linesPerSecond = 60
const maxBurstLines = 240
/** Limit of the other lines, which show failures or changes of state, as a multiple: they are rare except when failures pile up. */
const importantLimitFactor = 12

/** Events of a request without failures; their lines are the first to be omitted. */
const routineEvents: ReadonlySet<decisions.DecisionEvent> = new Set<decisions.DecisionEvent>(['routed', 'passedOn', 'turnAdmitted', 'sent'])

/** Creates a log with separate rate limits for routine lines and for all others. */
export function createDecisionLog (ports: DecisionLogPorts): DecisionLog {
  const routineLimit = new LineRateLimiter(linesPerSecond, maxBurstLines, ports.now)
  const importantLimit = new LineRateLimiter(linesPerSecond * importantLimitFactor, maxBurstLines * importantLimitFactor, ports.now)
  const omittedCounts = new Map<decisions.DecisionEvent, number>()

  function record (decision: decisions.Decision): void {
    ports.countDecision(decision)
    const limit = isRoutine(decision) ? routineLimit : importantLimit
    if (!limit.tryTake()) {
      omittedCounts.set(decision.event, (omittedCounts.get(decision.event) ?? 0) + 1)
      return
    }
    if (omittedCounts.size > 0 && limit === importantLimit) logOmittedCounts()
    const { level, message } = decisions.eventTable[decision.event]
    ports.logger[level]({ ...decision }, message)
  }

  function logOmittedCounts (): void {
    ports.logger.warn({ event: 'linesLeftOut', counts: Object.fromEntries(omittedCounts) }, 'log lines omitted by the rate limit; counts by event')
    omittedCounts.clear()
  }

  return { record }
}

function isRoutine (decision: decisions.Decision): boolean {
  return routineEvents.has(decision.event) || (decision.event === 'ended' && decision.outcome === 'whole')
}

/** Creates a log that drops all decisions, for tests and tools. */
export function createSilentDecisionLog (): DecisionLog {
  return { record: () => {} }
}

/** A token bucket: one token per line. */
class LineRateLimiter {
  private availableLines: number
  private refilledAtMs: number

  constructor (private readonly linesPerSecond: number, private readonly maxLines: number, private readonly now: () => number) {
    this.availableLines = maxLines
    this.refilledAtMs = now()
  }

  tryTake (): boolean {
    const now = this.now()
    this.availableLines = Math.min(this.maxLines, this.availableLines + (now - this.refilledAtMs) * this.linesPerSecond / 1_000)
    this.refilledAtMs = now
    if (this.availableLines < 1) return false
    this.availableLines -= 1
    return true
  }
}
