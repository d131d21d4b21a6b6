/** Shard log calls as values, so that one process can make them on behalf of another. */
import type * as shardLog from './shard-log.js'

/** A call with its arguments. */
export type StoreCall =
  | { readonly type: 'append', readonly request: shardLog.FencedAppend }
  | { readonly type: 'put', readonly partition: shardLog.Partition, readonly records: readonly shardLog.KeyedRecord[] }
  | { readonly type: 'newest', readonly partition: shardLog.Partition, readonly after: string | undefined }
  | { readonly type: 'read', readonly request: shardLog.ReadRequest }
  | { readonly type: 'join', readonly request: shardLog.JoinRequest }
  | { readonly type: 'leave', readonly group: string, readonly member: string }
  | { readonly type: 'owners', readonly group: string }

/** Result of any of the calls. */
export type StoreAnswer = Awaited<ReturnType<shardLog.ShardLog[keyof shardLog.ShardLog]>>

/** Makes the call on a log and returns the result of the corresponding method. */
export function runStoreCall (log: shardLog.ShardLog, call: StoreCall): Promise<StoreAnswer> {
  switch (call.type) {
    case 'append': return log.append(call.request)
    case 'put': return log.put(call.partition, call.records)
    case 'newest': return log.readNewest(call.partition, call.after)
    case 'read': return log.read(call.request)
    case 'join': return log.join(call.request)
    case 'leave': return log.leave(call.group, call.member)
    case 'owners': return log.listOwners(call.group)
  }
}

/** Creates a shard log that passes each call, as a value, to one function. */
export function createShardLog (makeCall: (call: StoreCall) => Promise<StoreAnswer>): shardLog.ShardLog {
  // The casts hold because `runStoreCall` returns the result of the method that corresponds to the call.
  return {
    append: (request) => makeCall({ type: 'append', request }) as ReturnType<shardLog.ShardLog['append']>,
    put: (partition, records) => makeCall({ type: 'put', partition, records }) as ReturnType<shardLog.ShardLog['put']>,
    readNewest: (partition, after) => makeCall({ type: 'newest', partition, after }) as ReturnType<shardLog.ShardLog['readNewest']>,
    read: (request) => makeCall({ type: 'read', request }) as ReturnType<shardLog.ShardLog['read']>,
    join: (request) => makeCall({ type: 'join', request }) as ReturnType<shardLog.ShardLog['join']>,
    leave: (group, member) => makeCall({ type: 'leave', group, member }) as ReturnType<shardLog.ShardLog['leave']>,
    listOwners: (group) => makeCall({ type: 'owners', group }) as ReturnType<shardLog.ShardLog['listOwners']>
  }
}

/** HTTP statuses with which a store refuses to serve the caller: rate limited or unavailable. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503])

/** Whether the failure concerns only this caller or its network path to the store, so that another process may succeed with the call. */
export function isRetryableElsewhere (answer: StoreAnswer): answer is shardLog.StoreFailure {
  if (answer.type === 'noAnswer') return true
  return answer.type === 'refused' && refusalStatuses.has(answer.status)
}
