/** The kept turns of one shard: their chains, and how long they are kept. Does no I/O. */
import type * as types from '@eelgrasswind/types'
import * as records from './records.js'

/** A kept turn with its id, as copied between shards. */
export interface StoredTurn {
  readonly turn: records.TurnId
  readonly record: records.TurnRecord
}

/** A keyed record of a turn to append; without a value it removes the key. */
export interface TurnWrite {
  readonly key: string
  readonly value: Uint8Array | undefined
}

interface TurnState extends records.TurnRecord {
  keepUntil: types.EpochMs
}

/** Memory of a kept turn besides its content, in bytes. */
const turnOverheadBytes = 1_024

function countBytes ({ input, output }: Pick<records.TurnRecord, 'input' | 'output'>): number {
  return input.length + output.length + turnOverheadBytes
}

/** No turn is in the shard without all of its predecessors, and none is kept longer than they are. */
export class TurnChains {
  private readonly turns = new Map<records.TurnId, TurnState>()
  private bytes = 0

  /** Memory of all turns, in bytes. */
  get keptBytes (): number {
    return this.bytes
  }

  has (turn: records.TurnId): boolean {
    return this.turns.has(turn)
  }

  load (turn: records.TurnId, record: records.TurnRecord): void {
    this.set(turn, { ...record })
  }

  /**
   * Completes the retention of loaded turns: a stored one is that of the turn alone, without later turns of its chain.
   * Returns the turns whose chain lacks a predecessor.
   */
  extendLoaded (): records.TurnId[] {
    return [...this.turns].filter(([, state]) => !this.extendRetention(state.previous, state.keepUntil)).map(([turn]) => turn)
  }

  /**
   * The prompt parts of an account's chain, oldest first; `undefined` if a turn is missing or the chain belongs to another
   * account. `copies`: turns of another shard that count as present.
   */
  read (turn: records.TurnId | undefined, account: types.AccountId | undefined, copies: readonly StoredTurn[] = []): Uint8Array[] | undefined {
    const chain = this.collect(turn, account, copies)
    return chain?.reverse().flatMap(({ record }) => [record.input, record.output])
  }

  /** A turn of an account with its predecessors, newest first; `undefined` if not all are in this shard. */
  export (turn: records.TurnId, account: types.AccountId | undefined): StoredTurn[] | undefined {
    return this.collect(turn, account, [])
  }

  /** Adds copies of a chain of another shard. Those that the shard has already are kept as long as the copies. */
  addCopies (copies: readonly StoredTurn[]): TurnWrite[] {
    const writes: TurnWrite[] = []
    for (const { turn, record } of copies) {
      const state = this.turns.get(turn)
      if (state === undefined) writes.push(this.put(turn, record))
      else if (state.keepUntil < record.keepUntil) state.keepUntil = record.keepUntil
    }
    return writes
  }

  /** Adds a turn that has completed, and keeps its chain as long; `undefined` if a predecessor is missing. */
  add (turn: records.TurnId, record: records.TurnRecord): TurnWrite | undefined {
    return this.extendRetention(record.previous, record.keepUntil) ? this.put(turn, record) : undefined
  }

  /** Removes the turns past their retention, except for `continued` ones and their predecessors. */
  removeExpired (now: types.EpochMs, continued: Iterable<records.TurnId>): TurnWrite[] {
    const held = this.collectChains(continued)
    const writes: TurnWrite[] = []
    for (const [turn, state] of this.turns) {
      if (state.keepUntil >= now || held.has(turn)) continue
      this.turns.delete(turn)
      this.bytes -= countBytes(state)
      writes.push({ key: records.turnKey(turn), value: undefined })
    }
    return writes
  }

  private put (turn: records.TurnId, record: records.TurnRecord): TurnWrite {
    this.set(turn, { ...record, input: detach(record.input), output: detach(record.output) })
    return { key: records.turnKey(turn), value: records.encodeTurn(record) }
  }

  private set (turn: records.TurnId, state: TurnState): void {
    const replaced = this.turns.get(turn)
    this.bytes += countBytes(state) - (replaced === undefined ? 0 : countBytes(replaced))
    this.turns.set(turn, state)
  }

  /** Newest first. Only its own account may continue a chain. */
  private collect (turn: records.TurnId | undefined, account: types.AccountId | undefined, copies: readonly StoredTurn[]): StoredTurn[] | undefined {
    const copiedRecords = new Map(copies.map((copy) => [copy.turn, copy.record]))
    const chain: StoredTurn[] = []
    let currentId = turn
    while (currentId !== undefined) {
      const record = this.turns.get(currentId) ?? copiedRecords.get(currentId)
      if (record === undefined || (chain.length === 0 && record.account !== account)) return undefined
      chain.push({ turn: currentId, record })
      currentId = record.previous
    }
    return chain
  }

  /** Keeps a turn and its predecessors at least until a time. Returns false if one of them is missing. */
  private extendRetention (turn: records.TurnId | undefined, keepUntil: types.EpochMs): boolean {
    let currentId = turn
    while (currentId !== undefined) {
      const state = this.turns.get(currentId)
      if (state === undefined) return false
      if (state.keepUntil < keepUntil) state.keepUntil = keepUntil
      currentId = state.previous
    }
    return true
  }

  private collectChains (turns: Iterable<records.TurnId>): Set<records.TurnId> {
    const collected = new Set<records.TurnId>()
    for (const turn of turns) {
      let currentId: records.TurnId | undefined = turn
      while (currentId !== undefined && !collected.has(currentId)) {
        collected.add(currentId)
        currentId = this.turns.get(currentId)?.previous
      }
    }
    return collected
  }
}

/** A buffer that is longer than this many times the bytes that are kept of it is not kept. */
const maxBufferFactor = 2

/** The same bytes in a buffer of about their length: a part of a longer one would keep all of it in memory. */
function detach (bytes: Uint8Array): Uint8Array {
  return bytes.buffer.byteLength > maxBufferFactor * bytes.length ? new Uint8Array(bytes) : bytes
}
