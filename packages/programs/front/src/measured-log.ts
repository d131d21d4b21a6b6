/** Metrics for store calls. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'

/** Wraps a log so that every store call is counted and timed. */
export function createMeasuredLog (log: shardLog.ShardLog, metrics: decisionLog.DecisionMetrics, timers: timerService.TimerService): shardLog.ShardLog {
  return shardLog.createShardLog(async (call) => {
    const startedAt = timers.monotonic()
    const answer = await shardLog.runStoreCall(log, call)
    metrics.observeStoreCall(call.type, answer.type, timers.monotonic() - startedAt)
    return answer
  })
}
