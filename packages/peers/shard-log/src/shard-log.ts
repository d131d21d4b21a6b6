/** Interface to the store that holds the shards. Implemented by an adapter to the real store, and by a stand-in for tests. */
import type * as types from '@eelgrasswind/types'

/** A partition of one of the system's topics. */
export interface Partition {
  readonly topic: string
  /** Number of the partition within its topic, from 0. */
  readonly part: number
}

/** A keyed record. Without a value it removes the key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Uint8Array | undefined
}

/** An append that the store accepts only from the writer with the newest epoch, and only once. */
export interface FencedAppend {
  readonly partition: Partition
  /** Fencing token. The store rejects an epoch lower than the highest one it has seen from this producer; all writers of a partition act as one producer. */
  readonly epoch: number
  /** Number of the append within its epoch, from 0. A repeated number gets the same answer as the first and stores nothing. */
  readonly sequence: number
  /** If empty, the append only sets the epoch. */
  readonly records: readonly KeyedRecord[]
}

/** Why a call gave no result. */
export type StoreFailure =
  /** Had no effect; retry after a delay. */
  | { readonly type: 'refused', readonly status: number }
  /** No answer: the call may have taken effect, or may still do so. */
  | { readonly type: 'noAnswer', readonly detail: string }

/** Result of an append. */
export type AppendOutcome =
  | { readonly type: 'appended' }
  /** Another writer has set a higher epoch. */
  | { readonly type: 'fenced' }
  /** The store expected another sequence number. */
  | { readonly type: 'outOfSequence', readonly detail: string }
  | StoreFailure

/** A page of the newest record of each key of a partition. */
export interface NewestPage {
  readonly type: 'page'
  readonly records: readonly { readonly key: string, readonly value: Uint8Array }[]
  /** Key after which the next page starts; `undefined` on the last page. */
  readonly after: string | undefined
  /** Offset from which `read` returns everything newer than this page. */
  readonly end: number
}

/** Records of a partition, in append order. */
export interface RecordPage {
  readonly type: 'records'
  readonly records: readonly KeyedRecord[]
  /** Offset after the last record. */
  readonly next: number
}

/** Reads the records from an offset on. */
export interface ReadRequest {
  readonly partition: Partition
  /** Offset of the first record to read. */
  readonly from: number
  /** Long-poll time: how long the store may wait for a record, in ms; 0 answers at once. */
  readonly waitMs: number
}

/** Joins a group to be assigned a share of the partitions of its topics, or renews the member's lease. */
export interface JoinRequest {
  readonly group: string
  readonly member: string
  readonly topics: readonly string[]
  /** Duration of the lease, in ms. */
  readonly ttlMs: number
  /** Generation of the last assignment that this member has applied; 0 before the first. */
  readonly generation: number
}

/** The partitions that the group assigns to a member. */
export interface Assignment {
  readonly type: 'assigned'
  readonly generation: number
  readonly partitions: readonly Partition[]
}

/** The member that currently owns a partition. */
export interface Owner {
  readonly partition: Partition
  readonly member: string
}

/** Calls to the store. They never throw; a call without a result resolves to a `StoreFailure`. */
export interface ShardLog {
  readonly append: (request: FencedAppend) => Promise<AppendOutcome>
  /** Appends records without a fence, to a partition with several writers; each key has one writer. A call without an answer may be repeated. */
  readonly put: (partition: Partition, records: readonly KeyedRecord[]) => Promise<{ readonly type: 'appended' } | StoreFailure>
  readonly readNewest: (partition: Partition, after: string | undefined) => Promise<NewestPage | StoreFailure>
  /** `expired`: records after `from` are no longer stored; only the newest record of each key is available, from `readNewest`. */
  readonly read: (request: ReadRequest) => Promise<RecordPage | { readonly type: 'expired' } | StoreFailure>
  /** Joins the group, or renews the lease of a member. */
  readonly join: (request: JoinRequest) => Promise<Assignment | StoreFailure>
  readonly leave: (group: string, member: string) => Promise<{ readonly type: 'left' } | StoreFailure>
  readonly listOwners: (group: string) => Promise<{ readonly type: 'owners', readonly owners: readonly Owner[] } | StoreFailure>
}

/** Formats a partition as TOPIC/PART. */
export function formatPartitionName (partition: Partition): types.Branded<string, 'PartitionName'> {
  return `${partition.topic}/${partition.part}` as types.Branded<string, 'PartitionName'>
}

/** TOPIC/PART. */
export type PartitionName = ReturnType<typeof formatPartitionName>
