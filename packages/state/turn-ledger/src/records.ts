/**
 * Keyed records of a ledger, encoded as MessagePack: one for each kept turn, one for each program, and the shard's
 * allowance.
 */
import * as msgpack from '@msgpack/msgpack'
import type * as types from '@eelgrasswind/types'

/** Id of one attempt of a client at a turn. */
export type TurnId = types.Branded<string, 'TurnId'>

/** A turn that completed, with its content. */
export interface TurnRecord {
  readonly program: types.ProgramId
  /** The only client account that may continue from the turn; `undefined` if the request named no account. */
  readonly account: types.AccountId | undefined
  /** The turn that this one continues from; `undefined` at the start of a chain. */
  readonly previous: TurnId | undefined
  /** The turn's own part of the prompt. */
  readonly input: Uint8Array
  /** The engine's answer, in the form in which the prompts of later turns repeat it. */
  readonly output: Uint8Array
  /** End of its retention, ms since the epoch. */
  readonly keepUntil: types.EpochMs
}

/** How much of its budget a program has used. */
export interface ProgramRecord {
  /** Tokens of ended turns; an interrupted turn counts with its token limit. */
  readonly spentTokens: number
  /** Turns in flight, each with its token limit. */
  readonly openTurns: ReadonlyMap<TurnId, number>
  /** Tokens that the next owner must count as handed out, including spent tokens and open turns. */
  readonly coveredTokens: number
  /** End of its retention, ms since the epoch. */
  readonly keepUntil: types.EpochMs
}

/** Whether the owner of a shard may let programs without a record use their allowance. */
export interface AllowanceRecord {
  /**
   * Set while an owner serves: if that owner ends without a handover, programs without a record may have used their
   * allowance.
   */
  readonly isActive: boolean
  /** When an owner last took the shard over without a handover, ms since the epoch; 0: never. */
  readonly takenOverAt: types.EpochMs
}

/** A stored record that can't be decoded. */
export class RecordError extends Error {
  override readonly name = 'RecordError'
}

const turnKeyPrefix = 't'
const programKeyPrefix = 'p'
/** Key of the shard's single allowance record. */
export const allowanceKey = 'a'

/** Key of the record of a turn. */
export function turnKey (turn: TurnId): string {
  return turnKeyPrefix + turn
}

/** Key of the record of a program. */
export function programKey (program: types.ProgramId): string {
  return programKeyPrefix + program
}

/** A parsed record key. */
export type LedgerKey =
  | { readonly type: 'turn', readonly turn: TurnId }
  | { readonly type: 'program', readonly program: types.ProgramId }
  | { readonly type: 'allowance' }

/** Parses the key of a stored record. Throws `RecordError` for any other key. */
export function parseKey (key: string): LedgerKey {
  if (key === allowanceKey) return { type: 'allowance' }
  const id = key.slice(1)
  if (key.startsWith(turnKeyPrefix)) return { type: 'turn', turn: id as TurnId }
  if (key.startsWith(programKeyPrefix)) return { type: 'program', program: id as types.ProgramId }
  throw new RecordError(`unknown record key ${key}`)
}

/** Encodes a turn. */
export function encodeTurn (record: TurnRecord): Uint8Array {
  return msgpack.encode([record.program, record.previous ?? null, record.input, record.output, record.keepUntil, record.account ?? null])
}

/** Decodes a turn. Throws if the bytes are not a turn record. */
export function decodeTurn (value: Uint8Array): TurnRecord {
  // Records of releases that had no accounts lack this field.
  const [program, previous, input, output, keepUntil, account = null] = decodeArray(value, 5, 6) as [types.ProgramId, TurnId | null, Uint8Array, Uint8Array, types.EpochMs, types.AccountId | null | undefined]
  return { program, account: account ?? undefined, previous: previous ?? undefined, input, output, keepUntil }
}

/** Encodes the budget of a program. */
export function encodeProgram (record: ProgramRecord): Uint8Array {
  return msgpack.encode([record.spentTokens, [...record.openTurns], record.keepUntil, record.coveredTokens])
}

/** Decodes the budget of a program. Throws if the bytes are not a program record. */
export function decodeProgram (value: Uint8Array): ProgramRecord {
  // Records of releases that reserved nothing in advance lack `coveredTokens`.
  const [spentTokens, openTurns, keepUntil, coveredTokens = 0] = decodeArray(value, 3, 4) as [number, [TurnId, number][], types.EpochMs, number | undefined]
  return { spentTokens, openTurns: new Map(openTurns), keepUntil, coveredTokens }
}

/** Encodes the allowance of a shard. */
export function encodeAllowance (record: AllowanceRecord): Uint8Array {
  return msgpack.encode([record.isActive, record.takenOverAt])
}

/** Decodes the allowance of a shard. Throws if the bytes are not an allowance record. */
export function decodeAllowance (value: Uint8Array): AllowanceRecord {
  const [isActive, takenOverAt] = decodeArray(value, 2) as [boolean, types.EpochMs]
  return { isActive, takenOverAt }
}

function decodeArray (value: Uint8Array, minFields: number, maxFields = minFields): unknown[] {
  const array = msgpack.decode(value)
  if (!Array.isArray(array) || array.length < minFields || array.length > maxFields) throw new RecordError(`expected an array of ${minFields} fields`)
  return array
}
