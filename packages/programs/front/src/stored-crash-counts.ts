/** Keeps what a process has counted of ended upstreams in the store, from which processes that start learn it. Encoded as MessagePack. */
import * as msgpack from '@msgpack/msgpack'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as limitCrashes from '@eelgrasswind/limit-crashes'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Dependencies of `StoredCrashCounts`. */
export interface StoredCountPorts {
  readonly crashLog: Pick<shardLog.ShardLog, 'put' | 'readNewest'>
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Address of this process for its peers; the key of its record. */
  readonly address: string
}

const partition: shardLog.Partition = { topic: 'keyed.crashes', part: 0 }

/** Delay from a change to its write, in ms: upstreams that end together end many requests at once. */
const writeDelayMs = 20
/** Delay before a write that failed is repeated, in ms. */
const rewriteDelayMs = 500
/** Repeats of a write while no further change comes. */
const maxRewrites = 20
/** Counts in a record; with 150 bytes each it stays far below the largest record that the store takes. */
const maxCounts = 200
/** Number of fields of a stored count. */
const countFields = 4

/** What the store holds. */
export interface StoredCounts {
  readonly counts: readonly limitCrashes.CrashCount[]
  /** Addresses of the processes that have written lately. */
  readonly writers: readonly string[]
}

/** A writer whose last count is older than this, in ms, is not asked any more. */
const recentMs = 30_000

/** Writes the counts of this process and reads those of all. */
export class StoredCrashCounts {
  private isWritePending = false

  /** `listCounts`: what this process has counted, the most important first. */
  constructor (private readonly ports: StoredCountPorts, private readonly listCounts: () => readonly limitCrashes.CrashCount[]) {}

  /** The counts have changed; they are written soon. */
  noteChanged (): void {
    this.scheduleWrite(writeDelayMs, maxRewrites)
  }

  /** Reads the counts of all processes; `undefined` if the store does not answer within the timeout, in ms. */
  async load (timeoutMs: number): Promise<StoredCounts | undefined> {
    return await timerService.withTimeout(this.ports.timers, this.readAll(), timeoutMs)
  }

  private async readAll (): Promise<StoredCounts | undefined> {
    const counts: limitCrashes.CrashCount[] = []
    const writers: string[] = []
    let after: string | undefined
    do {
      const page = await this.ports.crashLog.readNewest(partition, after)
      if (page.type !== 'page') return undefined
      for (const { key, value } of page.records) {
        const recent = this.decode(key, value).filter(({ lastEndedAgoMs }) => lastEndedAgoMs < recentMs)
        counts.push(...recent)
        if (recent.length > 0) writers.push(key)
      }
      after = page.after
    } while (after !== undefined)
    return { counts, writers }
  }

  private scheduleWrite (delayMs: number, rewritesLeft: number): void {
    if (this.isWritePending) return
    this.isWritePending = true
    this.ports.timers.after(delayMs, () => { void this.write(rewritesLeft) })
  }

  private async write (rewritesLeft: number): Promise<void> {
    this.isWritePending = false
    const { crashLog, timers, address } = this.ports
    const value = encodeCounts(this.listCounts().slice(0, maxCounts), timers.now())
    const outcome = await crashLog.put(partition, [{ key: address, value }])
    if (outcome.type !== 'appended' && rewritesLeft > 0) this.scheduleWrite(rewriteDelayMs, rewritesLeft - 1)
  }

  private decode (key: string, value: Uint8Array): limitCrashes.CrashCount[] {
    try {
      return decodeCounts(value, this.ports.timers.now())
    } catch (err) {
      this.ports.decisions.record({ event: 'crashCountsUnreadable', key, err })
      return []
    }
  }
}

/** Encodes counts; `now`: time since the epoch, in ms. */
export function encodeCounts (counts: readonly limitCrashes.CrashCount[], now: number): Uint8Array {
  return msgpack.encode(counts.map(({ request, ends, lastEndedAgoMs, isExclusive }) => [request, ends, Math.round(now - lastEndedAgoMs), isExclusive]))
}

/** Decodes counts. An end that another clock places in the future came about now. Throws an error if the value is not a list of counts. */
export function decodeCounts (value: Uint8Array, now: number): limitCrashes.CrashCount[] {
  const decoded = msgpack.decode(value)
  if (!Array.isArray(decoded)) throw new Error('expected a list of counts')
  return decoded.map((entry) => decodeCount(entry, now))
}

function decodeCount (entry: unknown, now: number): limitCrashes.CrashCount {
  const [request, ends, lastEndedAt, isExclusive] = Array.isArray(entry) && entry.length === countFields ? entry as unknown[] : []
  if (typeof request !== 'string' || !isTextList(ends) || typeof lastEndedAt !== 'number' || typeof isExclusive !== 'boolean') throw new Error('expected a request, the ends under it, the time of the last one, and whether only one client can have made it')
  return { request: request as types.RequestFingerprint, ends, lastEndedAgoMs: Math.max(0, now - lastEndedAt), isExclusive }
}

function isTextList (value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string')
}
