/** The port to the store that keeps the shards. An adapter implements it; a stand-in does so for tests. */
import type * as types from '@eelgrasswind/types'

/** A partition of one of the system's topics. */
export interface Partition {
  readonly topic: string
  /** From 0. */
  readonly part: number
}

/** One keyed record; without a value it removes the key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Uint8Array | undefined
}

/** An append that the store takes only from the newest writer of the partition, and once. */
export interface FencedAppend {
  readonly partition: Partition
  /** The store refuses every epoch lower than one that it has seen from this producer. */
  readonly epoch: number
  /** Counts the appends of an epoch from 0; a repeat is answered as the first was. */
  readonly sequence: number
  /** Empty: nothing is stored, the epoch is set. */
  readonly records: readonly KeyedRecord[]
}

/** Why a call gave no result. */
export type StoreFailure =
  /** Nothing was done; worth another try after a pause. */
  | { readonly type: 'refused', readonly status: number }
  /** No answer: it may have been done, or may still be. */
  | { readonly type: 'noAnswer', readonly detail: string }

/** What the store says to an append. */
export type AppendOutcome =
  | { readonly type: 'appended' }
  /** Another writer has set a higher epoch. */
  | { readonly type: 'fenced' }
  /** The store expected another sequence number. */
  | { readonly type: 'outOfSequence', readonly detail: string }
  | StoreFailure

/** A page of the newest records of a partition. */
export interface NewestPage {
  readonly type: 'page'
  readonly records: readonly { readonly key: string, readonly value: Uint8Array }[]
  /** Continue after this key; `undefined` on the last page. */
  readonly after: string | undefined
  /** Offset at which reading on finds everything newer than this page. */
  readonly end: number
}

/** Records of a partition in the order in which they were appended. */
export interface RecordPage {
  readonly type: 'records'
  readonly records: readonly KeyedRecord[]
  /** Offset after the last record. */
  readonly next: number
}

/** Asks for what was appended from an offset on. */
export interface ReadRequest {
  readonly partition: Partition
  /** Offset of the first record wanted. */
  readonly from: number
  /** How long the store may wait for a record, in ms; 0 answers at once. */
  readonly waitMs: number
}

/** Asks for a share of the partitions, or renews the lease. */
export interface JoinRequest {
  readonly group: string
  readonly member: string
  readonly topics: readonly string[]
  readonly ttlMs: number
  /** The last generation that this member has acted on; 0 before the first. */
  readonly generation: number
}

/** What the group deals to this member. */
export interface Assignment {
  readonly type: 'assigned'
  readonly generation: number
  readonly partitions: readonly Partition[]
}

/** Who holds a partition now. */
export interface Owner {
  readonly partition: Partition
  readonly member: string
}

/** The calls to the store. None throws: a call without a result gives a `StoreFailure`. */
export interface ShardLog {
  readonly append: (request: FencedAppend) => Promise<AppendOutcome>
  readonly readNewest: (partition: Partition, after: string | undefined) => Promise<NewestPage | StoreFailure>
  /** `expired`: records after `from` are gone, only the newest of each key can be had. */
  readonly read: (request: ReadRequest) => Promise<RecordPage | { readonly type: 'expired' } | StoreFailure>
  /** Joins the group, or renews the lease of a member. */
  readonly join: (request: JoinRequest) => Promise<Assignment | StoreFailure>
  readonly leave: (group: string, member: string) => Promise<{ readonly type: 'left' } | StoreFailure>
  readonly listOwners: (group: string) => Promise<{ readonly type: 'owners', readonly owners: readonly Owner[] } | StoreFailure>
}

/** Text that identifies a partition. */
export function formatPartitionName (partition: Partition): types.Branded<string, 'PartitionName'> {
  return `${partition.topic}/${partition.part}` as types.Branded<string, 'PartitionName'>
}

/** TOPIC/PART. */
export type PartitionName = ReturnType<typeof formatPartitionName>
