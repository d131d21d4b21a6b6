/** Follows one keyed partition by polling, from its newest records on. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'

/** What is followed, and how often it is read. */
export interface FollowerSettings {
  readonly partition: shardLog.Partition
  /** Pause between two reads, in ms. */
  readonly pollMs: number
  /** How long the store holds a read that finds nothing new, in ms. */
  readonly longPollMs: number
}

/** What a follower needs from its process. */
export interface FollowerPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** What the follower tells. */
export interface FollowerEvents {
  /** The newest records in full, after the start and whenever some changes were missed. */
  readonly onSnapshot: (records: ReadonlyMap<string, Uint8Array>) => void
  readonly onPut: (key: string, value: Uint8Array) => void
  readonly onRemove: (key: string) => void
}

/** Pause after a failed read, in ms. */
const failedPauseMs = 150
/** An answer after a silence this long, in ms, counts as the return of the store. */
const outageMs = 1_500

/** Reads all newest records once, then what was appended since; starts over where that is no longer to be had. */
export class RecordFollower {
  private next: number | undefined
  private lastAnswerAt: number | undefined
  private returnedAt = -Infinity
  private stopped = false
  private failing = false

  constructor (private readonly settings: FollowerSettings, private readonly ports: FollowerPorts, private readonly events: FollowerEvents) {}

  start (): void {
    void this.run()
  }

  stop (): void {
    this.stopped = true
  }

  /** Age of what is known, in ms; infinite before the first answer. */
  ageMs (): number {
    return this.lastAnswerAt === undefined ? Infinity : this.ports.timers.monotonic() - this.lastAnswerAt
  }

  /** Time since the store came back from an outage, in ms; infinite if there was none. */
  sinceRecoveryMs (): number {
    return this.ports.timers.monotonic() - this.returnedAt
  }

  private async run (): Promise<void> {
    while (!this.stopped) {
      const answered = this.next === undefined ? await this.readNewest() : await this.readOn(this.next)
      await timerService.sleep(this.ports.timers, answered ? this.settings.pollMs : failedPauseMs)
    }
  }

  private async readOn (from: number): Promise<boolean> {
    const page = await this.ports.log.read({ partition: this.settings.partition, from, waitMs: this.settings.longPollMs })
    switch (page.type) {
      case 'records':
        this.noteAnswer()
        this.next = page.next
        for (const { key, value } of page.records) {
          if (value === undefined) this.events.onRemove(key)
          else this.events.onPut(key, value)
        }
        return true
      case 'expired':
        this.ports.decisions.note({ event: 'changesMissed', topic: this.settings.partition.topic, from })
        this.next = undefined
        return true
      case 'refused':
      case 'noAnswer':
        this.noteFailure(page)
        return false
    }
  }

  private async readNewest (): Promise<boolean> {
    const found = new Map<string, Uint8Array>()
    let after: string | undefined
    let end: number | undefined
    do {
      const page = await this.ports.log.newest(this.settings.partition, after)
      if (page.type !== 'page') {
        this.noteFailure(page)
        return false
      }
      for (const { key, value } of page.records) found.set(key, value)
      end ??= page.end
      after = page.after
    } while (after !== undefined)
    this.noteAnswer()
    this.next = end
    this.events.onSnapshot(found)
    return true
  }

  private noteAnswer (): void {
    const now = this.ports.timers.monotonic()
    if (this.lastAnswerAt !== undefined && now - this.lastAnswerAt > outageMs + this.settings.longPollMs) this.returnedAt = now
    this.lastAnswerAt = now
    if (this.failing) this.ports.decisions.note({ event: 'storeBack', topic: this.settings.partition.topic })
    this.failing = false
  }

  private noteFailure (failure: shardLog.StoreFailure): void {
    if (!this.failing) this.ports.decisions.note({ event: 'storeAway', topic: this.settings.partition.topic, failure })
    this.failing = true
  }
}
