/** The keyed records that a ledger keeps: one for each turn and one for each program. MessagePack by a library. */
import * as msgpack from '@msgpack/msgpack'
import type * as types from '@eelgrasswind/types'

/** Id of one client attempt at a turn. */
export type TurnId = types.Branded<string, 'TurnId'>

/** A turn that was answered whole. */
export interface TurnRecord {
  readonly program: types.ProgramId
  /** The only client account that may continue from it; `undefined`: no account was named. */
  readonly account: types.AccountId | undefined
  /** The turn that it continues from; `undefined` at the start of a chain. */
  readonly previous: TurnId | undefined
  readonly input: Uint8Array
  /** What the engine made, as later turns of the chain repeat it. */
  readonly output: Uint8Array
  /** End of its retention, ms since the epoch. */
  readonly keepUntil: types.EpochMs
}

/** What a program has used of its budget. */
export interface ProgramRecord {
  /** Tokens of ended turns; a turn that broke off counts at its most. */
  readonly spentTokens: number
  /** Turns under way, each with the most tokens it may make. */
  readonly open: ReadonlyMap<TurnId, number>
  /** Tokens that the next owner counts as handed out, spent and open ones included. */
  readonly coveredTokens: number
  /** End of its retention, ms since the epoch. */
  readonly keepUntil: types.EpochMs
}

/** What the owner of a shard may hand out to programs that have no record. */
export interface AllowanceRecord {
  /** An owner serves under it: if it ends without a handover, programs without a record may have used their allowance. */
  readonly inForce: boolean
  /** When an owner last took the shard over without a handover, ms since the epoch; 0: never. */
  readonly takenOverAt: types.EpochMs
}

/** A record that can't be read. */
export class RecordError extends Error {
  override readonly name = 'RecordError'
}

const turnPrefix = 't'
const programPrefix = 'p'
/** Key of the one record of a shard's allowance. */
export const allowanceKey = 'a'

/** Key of the record of a turn. */
export function turnKey (turn: TurnId): string {
  return turnPrefix + turn
}

/** Key of the record of a program. */
export function programKey (program: types.ProgramId): string {
  return programPrefix + program
}

/** What a key of the ledger stands for. */
export type LedgerKey =
  | { readonly type: 'turn', readonly turn: TurnId }
  | { readonly type: 'program', readonly program: types.ProgramId }
  | { readonly type: 'allowance' }

/** What a stored key names. Throws `RecordError` for a key of another kind. */
export function parseKey (key: string): LedgerKey {
  if (key === allowanceKey) return { type: 'allowance' }
  const id = key.slice(1)
  if (key.startsWith(turnPrefix)) return { type: 'turn', turn: id as TurnId }
  if (key.startsWith(programPrefix)) return { type: 'program', program: id as types.ProgramId }
  throw new RecordError(`unknown key ${key}`)
}

/** Bytes of a turn, MessagePack. */
export function encodeTurn (record: TurnRecord): Uint8Array {
  return msgpack.encode([record.program, record.previous ?? null, record.input, record.output, record.keepUntil, record.account ?? null])
}

/** Reads a turn. Throws where the bytes are no such record. */
export function decodeTurn (value: Uint8Array): TurnRecord {
  // Releases before accounts wrote none.
  const [program, previous, input, output, keepUntil, account = null] = decodeRow(value, 5, 6) as [types.ProgramId, TurnId | null, Uint8Array, Uint8Array, types.EpochMs, types.AccountId | null | undefined]
  return { program, account: account ?? undefined, previous: previous ?? undefined, input, output, keepUntil }
}

/** Bytes of the budget of a program, MessagePack. */
export function encodeProgram (record: ProgramRecord): Uint8Array {
  return msgpack.encode([record.spentTokens, [...record.open], record.keepUntil, record.coveredTokens])
}

/** Reads the budget of a program. Throws where the bytes are no such record. */
export function decodeProgram (value: Uint8Array): ProgramRecord {
  // Releases before this field counted nothing ahead.
  const [spentTokens, open, keepUntil, coveredTokens = 0] = decodeRow(value, 3, 4) as [number, [TurnId, number][], types.EpochMs, number | undefined]
  return { spentTokens, open: new Map(open), keepUntil, coveredTokens }
}

/** Bytes of a shard's allowance, MessagePack. */
export function encodeAllowance (record: AllowanceRecord): Uint8Array {
  return msgpack.encode([record.inForce, record.takenOverAt])
}

/** Reads a shard's allowance. Throws where the bytes are no such record. */
export function decodeAllowance (value: Uint8Array): AllowanceRecord {
  const [inForce, takenOverAt] = decodeRow(value, 2) as [boolean, types.EpochMs]
  return { inForce, takenOverAt }
}

function decodeRow (value: Uint8Array, fields: number, mostFields = fields): unknown[] {
  const row = msgpack.decode(value)
  if (!Array.isArray(row) || row.length < fields || row.length > mostFields) throw new RecordError(`expected ${fields} fields`)
  return row
}
