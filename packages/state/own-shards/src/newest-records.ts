/** Reads the newest record of each key of a partition, page by page; repeats reads that fail. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** Dependencies of a read. */
export interface ReadNewestPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Whether to go on: the process may have lost the partition meanwhile. */
  readonly isWanted: () => boolean
}

/** Delay before a failed page read is repeated, in ms. */
const readRetryDelayMs = 60

/** Reads all records; false if they were no longer wanted. Rejects with the errors of `onRecord`. */
export async function readNewestRecords (partition: shardLog.Partition, { log, timers, decisions, isWanted }: ReadNewestPorts, onRecord: (record: shardLog.NewestPage['records'][number]) => void): Promise<boolean> {
  let after: string | undefined
  while (isWanted()) {
    const page = await log.readNewest(partition, after)
    if (page.type !== 'page') {
      decisions.record({ event: 'shardNotRead', partition, failure: page })
      await timerService.sleep(timers, readRetryDelayMs)
      continue
    }
    for (const record of page.records) onRecord(record)
    if (page.after === undefined) return true
    after = page.after
  }
  return false
}
