/** Stored records of an account group: the states of its accounts from which the next owner starts, and whether an owner counts them. Encoded as MessagePack. */
import * as msgpack from '@msgpack/msgpack'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as types from '@eelgrasswind/types'

const accountKeyPrefix = 'a'
const ownerKey = 'o'
/** Number of fields of an account's state. */
const stateFields = 5

/** A decoded record. */
export type GroupRecord =
  | { readonly type: 'account', readonly stored: meterAccount.StoredState }
  | { readonly type: 'owner', readonly owner: OwnerRecord }

/** What the last owner of a group has left. */
export type OwnerRecord =
  /** It has begun to count and has not handed over. */
  | ActiveOwner
  /** `restedMs`: for how long accounts without a record had not been used, in ms. */
  | Omit<ActiveOwner, 'type'> & { readonly type: 'handedOver', readonly restedMs: number }

/** An owner that may still count. */
export interface ActiveOwner {
  readonly type: 'active'
  readonly term: number
  /** Address at which it answers other processes. */
  readonly address: string
  /** Whether it knew that its own predecessor counted no more. */
  readonly isSole: boolean
}

/** Partition that holds the records of a group. Groups share no partition, since their owners differ. */
export function getGroupPartition (group: number): shardLog.Partition {
  return { topic: `keyed.accounts-${group}`, part: 0 }
}

/** Encodes the state of an account. */
export function encodeAccount ({ account, state: { level, uncommitted, young, recent } }: meterAccount.StoredState): shardLog.KeyedRecord {
  return { key: accountKeyPrefix + account, value: msgpack.encode([level, uncommitted, young, recent.first, recent.further]) }
}

/** Encodes what an owner leaves. */
export function encodeOwner (owner: OwnerRecord): shardLog.KeyedRecord {
  return { key: ownerKey, value: msgpack.encode([owner.term, owner.address, owner.isSole, owner.type === 'active' ? null : owner.restedMs]) }
}

/** Decodes a record. Throws an error that names the key if it is none. */
export function decodeRecord (key: string, value: Uint8Array): GroupRecord {
  const decoded = msgpack.decode(value)
  if (key === ownerKey) return { type: 'owner', owner: decodeOwner(key, decoded) }
  if (key.startsWith(accountKeyPrefix)) return { type: 'account', stored: { account: getAccount(key), state: decodeState(key, decoded) } }
  throw new Error(`record ${key}: expected the state of an account or of its owner`)
}

/** What a record that can't be decoded is taken for: the account is used up, or a former owner still counts. */
export function assumeRecord (key: string): GroupRecord {
  if (key.startsWith(accountKeyPrefix)) return { type: 'account', stored: { account: getAccount(key), state: meterAccount.createState(0) } }
  return { type: 'owner', owner: { type: 'active', term: -1, address: '', isSole: false } }
}

function decodeOwner (key: string, value: unknown): OwnerRecord {
  const [term, address, isSole, restedMs] = Array.isArray(value) ? value as unknown[] : []
  if (typeof term !== 'number' || typeof address !== 'string' || typeof isSole !== 'boolean') throw new Error(`record ${key}: expected the term and the address of an owner, and whether it was alone`)
  return typeof restedMs === 'number' ? { type: 'handedOver', term, address, isSole, restedMs } : { type: 'active', term, address, isSole }
}

function decodeState (key: string, value: unknown): meterAccount.MeterState {
  const fields = Array.isArray(value) ? value : []
  if (fields.length !== stateFields || !fields.every((field) => typeof field === 'number')) throw new Error(`record ${key}: expected ${stateFields} numbers`)
  const [level, uncommitted, young, first, further] = fields as [number, number, number, number, number]
  return { level, uncommitted, young, recent: { first, further } }
}

function getAccount (key: string): types.AccountId {
  return key.slice(accountKeyPrefix.length) as types.AccountId
}
