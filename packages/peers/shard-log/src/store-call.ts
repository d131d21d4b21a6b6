/** The calls of the shard log as values, so that one process can make them for another. */
import type * as shardLog from './shard-log.js'

/** One call with its arguments. */
export type StoreCall =
  | { readonly type: 'append', readonly request: shardLog.FencedAppend }
  | { readonly type: 'newest', readonly partition: shardLog.Partition, readonly after: string | undefined }
  | { readonly type: 'read', readonly request: shardLog.ReadRequest }
  | { readonly type: 'join', readonly request: shardLog.JoinRequest }
  | { readonly type: 'leave', readonly group: string, readonly member: string }
  | { readonly type: 'owners', readonly group: string }

/** Any answer of any call. */
export type StoreAnswer = Awaited<ReturnType<shardLog.ShardLog[keyof shardLog.ShardLog]>>

/** Makes the call at a log; the answer is that of the method of the same name. */
export function runStoreCall (log: shardLog.ShardLog, call: StoreCall): Promise<StoreAnswer> {
  switch (call.type) {
    case 'append': return log.append(call.request)
    case 'newest': return log.readNewest(call.partition, call.after)
    case 'read': return log.read(call.request)
    case 'join': return log.join(call.request)
    case 'leave': return log.leave(call.group, call.member)
    case 'owners': return log.listOwners(call.group)
  }
}

/** A shard log whose calls go through one function. */
export function createShardLog (run: (call: StoreCall) => Promise<StoreAnswer>): shardLog.ShardLog {
  // Each call gets the answer of its own method: `runStoreCall` returns no other.
  return {
    append: (request) => run({ type: 'append', request }) as ReturnType<shardLog.ShardLog['append']>,
    readNewest: (partition, after) => run({ type: 'newest', partition, after }) as ReturnType<shardLog.ShardLog['readNewest']>,
    read: (request) => run({ type: 'read', request }) as ReturnType<shardLog.ShardLog['read']>,
    join: (request) => run({ type: 'join', request }) as ReturnType<shardLog.ShardLog['join']>,
    leave: (group, member) => run({ type: 'leave', group, member }) as ReturnType<shardLog.ShardLog['leave']>,
    listOwners: (group) => run({ type: 'owners', group }) as ReturnType<shardLog.ShardLog['listOwners']>
  }
}

/** Statuses with which a store turns a caller away rather than answers it. */
const turnedAway: ReadonlySet<number> = new Set([429, 503])

/** Whether the caller, or the way to the store, is at fault, so that another process may fare better. */
export function isRetryableElsewhere (answer: StoreAnswer): answer is shardLog.StoreFailure {
  if (answer.type === 'noAnswer') return true
  return answer.type === 'refused' && turnedAway.has(answer.status)
}
