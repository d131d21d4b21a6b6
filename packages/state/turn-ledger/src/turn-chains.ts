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

export class TurnChains {
  private readonly turns = new Map<records.TurnId, TurnState>()

  has (turn: records.TurnId): boolean {
    return this.turns.has(turn)
  }

  load (turn: records.TurnId, record: records.TurnRecord): void {
    this.turns.set(turn, { ...record })
  }

  /** Completes the retention of loaded turns: a stored one is that of the turn alone, without later turns of its chain. */
  extendLoaded (): void {
    for (const state of this.turns.values()) this.extendRetention(state.previous, state.keepUntil)
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

  /** Adds copies of a chain of another shard, but for those that the shard has already. */
  addCopies (copies: readonly StoredTurn[]): TurnWrite[] {
    return copies.filter(({ turn }) => !this.turns.has(turn)).map(({ turn, record }) => this.put(turn, record))
  }

  /** Adds a turn that has completed, and keeps its chain as long. */
  add (turn: records.TurnId, record: records.TurnRecord): TurnWrite {
    this.extendRetention(record.previous, record.keepUntil)
    return this.put(turn, record)
  }

  /** Removes the turns past their retention. */
  removeExpired (now: types.EpochMs): TurnWrite[] {
    const writes: TurnWrite[] = []
    for (const [turn, state] of this.turns) {
      if (state.keepUntil >= now) continue
      this.turns.delete(turn)
      writes.push({ key: records.turnKey(turn), value: undefined })
    }
    return writes
  }

  private put (turn: records.TurnId, record: records.TurnRecord): TurnWrite {
    this.turns.set(turn, { ...record })
    return { key: records.turnKey(turn), value: records.encodeTurn(record) }
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

  /** Keeps a turn and its predecessors at least until a time. */
  private extendRetention (turn: records.TurnId | undefined, keepUntil: types.EpochMs): void {
    let currentId = turn
    while (currentId !== undefined) {
      const state = this.turns.get(currentId)
      if (state === undefined) return
      if (state.keepUntil < keepUntil) state.keepUntil = keepUntil
      currentId = state.previous
    }
  }
}
