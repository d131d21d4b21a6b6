/** Counts connections that are closed because there are too many, with at most one log line a second. */
import type * as loggers from '@eelgrasswind/logger'
import type * as metrics from '@eelgrasswind/metrics'
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of a report. */
export interface ConnectionReportPorts {
  readonly timers: timerService.TimerService
  readonly logger: loggers.Logger
  readonly metrics: Pick<metrics.Metrics, 'increment'>
  readonly getOpenCount: () => number
}

/** Period that one log line covers, in ms. */
const reportPeriodMs = 1_000

/** The function to call for each closed connection. */
export function createConnectionReport ({ timers, logger, metrics, getOpenCount }: ConnectionReportPorts): () => void {
  let closedCount = 0
  return () => {
    metrics.increment('connection.closed')
    closedCount += 1
    if (closedCount > 1) return
    timers.after(reportPeriodMs, () => {
      logger.warn({ closed: closedCount, open: getOpenCount() }, 'too many connections; closed those that had no request in flight for longest')
      closedCount = 0
    })
  }
}
