/** Bounds the connections of the listeners that clients reach, and records which are closed for it. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as limitConnections from '@eelgrasswind/limit-connections'
import type * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of a limited listener. */
export interface LimitListenerPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Period that one log line covers, in ms. */
const reportPeriodMs = 1_000

/** Bounds the connections of a server that does not listen yet. */
export function limitListener ({ timers, decisions }: LimitListenerPorts, listener: decisionLog.ClientListener, server: http.Server, maxConnections: number): limitConnections.ConnectionLimit {
  let closedCount = 0
  const limit = limitConnections.limitConnections(server, maxConnections, () => {
    closedCount += 1
    if (closedCount > 1) return
    timers.after(reportPeriodMs, () => {
      decisions.record({ event: 'connectionsClosed', listener, closed: closedCount, open: limit.openCount, maxConnections })
      closedCount = 0
    })
  })
  return limit
}
