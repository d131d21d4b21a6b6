/** Counts and times every call to the store. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'

/** The same log, with its calls measured. */
export function measuredLog (log: shardLog.ShardLog, metrics: decisionLog.DecisionMetrics, timers: timerService.TimerService): shardLog.ShardLog {
  return shardLog.shardLogOver(async (call) => {
    const startedAt = timers.monotonic()
    const answer = await shardLog.runStoreCall(log, call)
    metrics.storeCall(call.type, answer.type, timers.monotonic() - startedAt)
    return answer
  })
}
