/** Follows one keyed partition by polling, starting from a snapshot of its newest records. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** The partition to follow and the poll timing. */
export interface FollowerSettings {
  readonly partition: shardLog.Partition
  /** Poll interval, in ms, from the end of one read to the start of the next. */
  readonly pollMs: number
  /** How long the store may hold a read that finds nothing new, in ms; 0 for no long polling. */
  readonly longPollMs: number
}

/** Dependencies of a follower. */
export interface FollowerPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Callbacks of a follower. */
export interface FollowerEvents {
  /** Called with the newest record of every key, after the start and whenever changes were missed. */
  readonly onSnapshot: (records: ReadonlyMap<string, Uint8Array>) => void
  readonly onPut: (key: string, value: Uint8Array) => void
  readonly onRemove: (key: string) => void
}

/** Delay after a failed read, in ms. */
const retryDelayMs = 150
/** Time without an answer, in ms, after which the next answer counts as the store's recovery from an outage. */
const minOutageMs = 1_500

/** Reads a snapshot of the newest records, then the records appended since; starts over if those have expired. */
export class RecordFollower {
  /** Offset of the next read; `undefined` if a snapshot must be read first. */
  private nextOffset: number | undefined
  /** Times of the last answer and of the last recovery of the store, in ms of the monotonic clock. */
  private lastAnswerAtMs: number | undefined
  private recoveredAtMs = -Infinity
  private isStopped = false
  private isFailing = false

  constructor (private readonly settings: FollowerSettings, private readonly ports: FollowerPorts, private readonly events: FollowerEvents) {}

  start (): void {
    void this.runPolling()
  }

  stop (): void {
    this.isStopped = true
  }

  /** Staleness of the records, in ms: the time since the last answer; infinite before the first. */
  ageMs (): number {
    return this.lastAnswerAtMs === undefined ? Infinity : this.ports.timers.monotonic() - this.lastAnswerAtMs
  }

  /** Time since the store last recovered from an outage, in ms; infinite if there was none. */
  sinceRecoveryMs (): number {
    return this.ports.timers.monotonic() - this.recoveredAtMs
  }

  private async runPolling (): Promise<void> {
    while (!this.isStopped) {
      const isAnswered = this.nextOffset === undefined ? await this.readSnapshot() : await this.readChanges(this.nextOffset)
      await timerService.sleep(this.ports.timers, isAnswered ? this.settings.pollMs : retryDelayMs)
    }
  }

  /** Reads the records from an offset on; resolves to whether the store answered. */
  private async readChanges (from: number): Promise<boolean> {
    const page = await this.ports.log.read({ partition: this.settings.partition, from, waitMs: this.settings.longPollMs })
    switch (page.type) {
      case 'records':
        this.recordAnswer()
        this.nextOffset = page.next
        for (const { key, value } of page.records) {
          if (value === undefined) this.events.onRemove(key)
          else this.events.onPut(key, value)
        }
        return true
      case 'expired':
        this.ports.decisions.record({ event: 'changesMissed', topic: this.settings.partition.topic, from })
        this.nextOffset = undefined
        return true
      case 'refused':
      case 'noAnswer':
        this.recordFailure(page)
        return false
    }
  }

  /** Reads the newest records in full; resolves to whether the store answered. */
  private async readSnapshot (): Promise<boolean> {
    const snapshot = new Map<string, Uint8Array>()
    let after: string | undefined
    let endOffset: number | undefined
    do {
      const page = await this.ports.log.readNewest(this.settings.partition, after)
      if (page.type !== 'page') {
        this.recordFailure(page)
        return false
      }
      for (const { key, value } of page.records) snapshot.set(key, value)
      endOffset ??= page.end
      after = page.after
    } while (after !== undefined)
    this.recordAnswer()
    this.nextOffset = endOffset
    this.events.onSnapshot(snapshot)
    return true
  }

  private recordAnswer (): void {
    const now = this.ports.timers.monotonic()
    if (this.lastAnswerAtMs !== undefined && now - this.lastAnswerAtMs > minOutageMs + this.settings.longPollMs) this.recoveredAtMs = now
    this.lastAnswerAtMs = now
    if (this.isFailing) this.ports.decisions.record({ event: 'storeBack', topic: this.settings.partition.topic })
    this.isFailing = false
  }

  private recordFailure (failure: shardLog.StoreFailure): void {
    if (!this.isFailing) this.ports.decisions.record({ event: 'storeAway', topic: this.settings.partition.topic, failure })
    this.isFailing = true
  }
}
