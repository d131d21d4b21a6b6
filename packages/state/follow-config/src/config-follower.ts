/** Keeps the configuration in force of one process: from the stream, and from peers while the log is down. */
import * as crypto from 'node:crypto'
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as logger from '@eelgrasswind/logger'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** What a peer answers: a document that `toPeerConfig` made, and its version. */
export interface PeerConfig {
  readonly version: types.ConfigVersion
  readonly config: unknown
}

/** Who writes copies of the configuration before its records expire. */
export interface CopySettings {
  /** Name in the records. */
  readonly author: string
  /** Whether this process writes them now; one process of the fleet should, more do no harm. */
  readonly isCopyWriter: () => boolean
}

export interface ConfigFollowerSettings {
  readonly log: logClient.LogClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** How often the stream is read, in milliseconds. */
  readonly pollMs?: number
  /** Asks a few peers for a configuration newer than a version; null where none has one. */
  readonly fetchFromPeers?: (have: types.ConfigVersion) => Promise<PeerConfig | null>
  readonly copies?: CopySettings
}

export type ConfigListener = (inForce: configState.ConfigSnapshot) => void

export interface ConfigFollower {
  /** The configuration in force, or undefined before the first. */
  current: () => configState.ConfigSnapshot | undefined
  /** Why the version in force may be behind, or null. */
  gap: () => configState.GapCause | null
  /** Calls with every new version from now on. */
  subscribe: (listener: ConfigListener) => timerService.Subscription
  /** Resolves once a configuration is in force. */
  waitForFirst: () => Promise<configState.ConfigSnapshot>
  /** Reads the stream now, as when an answer of a peer names a higher version. */
  poll: () => Promise<void>
  close: () => void
}

export const defaultPollMs = 1000
const pageRecords = 500
/** Least time between two attempts to write a copy. */
const copyRetryMs = 30_000

class StreamFollower implements ConfigFollower {
  private state = configState.initialState
  private readonly listeners = new Set<ConfigListener>()
  private readonly ticks: timerService.Subscription
  private closed = false
  private reading: Promise<void> | undefined
  private asking = false
  private lastCopyAt = -Infinity
  private failing = false

  constructor (private readonly settings: ConfigFollowerSettings) {
    this.ticks = settings.timers.every(settings.pollMs ?? defaultPollMs, () => this.tick())
    void this.poll()
    void this.askPeers()
  }

  current (): configState.ConfigSnapshot | undefined {
    return this.state.version === 0 ? undefined : this.state
  }

  gap (): configState.GapCause | null {
    return this.state.gap?.cause ?? null
  }

  subscribe (listener: ConfigListener): timerService.Subscription {
    this.listeners.add(listener)
    return { cancel: () => { this.listeners.delete(listener) } }
  }

  waitForFirst (): Promise<configState.ConfigSnapshot> {
    const known = this.current()
    if (known !== undefined) return Promise.resolve(known)
    return new Promise((resolve) => {
      const subscription = this.subscribe((inForce) => {
        subscription.cancel()
        resolve(inForce)
      })
    })
  }

  poll (): Promise<void> {
    this.reading ??= this.readStream().finally(() => { this.reading = undefined })
    return this.reading
  }

  close (): void {
    this.closed = true
    this.ticks.cancel()
    this.listeners.clear()
  }

  private tick (): void {
    // A read that is still open after a whole period may be an outage of the log.
    if (this.reading !== undefined || this.state.gap !== null) void this.askPeers()
    void this.poll()
  }

  private async readStream (): Promise<void> {
    for (;;) {
      const page = await this.settings.log.read(configState.configStream, configState.nextOffset(this.state), { limit: pageRecords })
      if (this.closed) return
      if (!page.ok) return this.noteFailure(page.failure)
      this.failing = false
      const before = configState.nextOffset(this.state)
      this.applyPage(page.value)
      const now = configState.nextOffset(this.state)
      if (now >= page.value.next) break
      if (now === before) return
    }
    await this.copyIfDue()
  }

  private noteFailure (failure: errors.Failure): void {
    if (!this.failing) this.settings.logger.warn({ failure }, 'configuration stream not read; asking peers')
    this.failing = true
    void this.askPeers()
  }

  private applyPage (page: logClient.LogPage): void {
    const next = configState.nextOffset(this.state)
    if (page.first > next) {
      this.settings.logger.error({ from: next, first: page.first }, 'configuration records have expired unread; a copy or a peer is needed')
      this.replace(configState.skipExpired(this.state, page.first))
    }
    for (const record of page.records) {
      const { state, effect } = configState.applyRecord(this.state, record)
      this.logEffect(record, effect)
      this.replace(state)
    }
  }

  private logEffect (record: configState.ConfigRecord, effect: configState.Effect): void {
    const log = this.settings.logger
    const { offset } = record
    switch (effect.type) {
      case 'accepted': return log.info({ offset, version: effect.version }, 'configuration accepted')
      case 'rejected': return log.warn({ offset, reason: effect.reason, detail: effect.detail }, 'configuration record rejected')
      case 'republished': return log.debug({ offset, version: effect.version }, 'configuration copied')
      case 'restored': return log.info({ offset, version: effect.version }, 'configuration restored from a copy')
      case 'unknownFormat': return log.error({ offset, format: effect.format }, 'configuration record of a newer format; this process must be updated')
      case 'pending': return log.debug({ offset }, 'configuration record waits for a copy')
      case 'repeated':
      case 'ahead': return
      default: errors.unreachable(effect)
    }
  }

  private replace (state: configState.ConfigState): void {
    const isNewer = state.version > this.state.version
    this.state = state
    if (!isNewer) return
    for (const listener of [...this.listeners]) this.notify(listener, state)
  }

  private notify (listener: ConfigListener, inForce: configState.ConfigSnapshot): void {
    try {
      listener(inForce)
    } catch (err) {
      this.settings.logger.error({ err, version: inForce.version }, 'listener of the configuration failed')
    }
  }

  private async askPeers (): Promise<void> {
    const { fetchFromPeers } = this.settings
    if (fetchFromPeers === undefined || this.asking || this.closed) return
    this.asking = true
    // At a gap a peer with the same version helps as well.
    const have = (this.state.gap === null ? this.state.version : Math.max(0, this.state.version - 1)) as types.ConfigVersion
    try {
      const answer = await fetchFromPeers(have)
      if (answer !== null && !this.closed) this.adopt(answer)
    } catch (err) {
      this.settings.logger.warn({ err }, 'peers not asked for the configuration')
    } finally {
      this.asking = false
    }
  }

  private adopt (answer: PeerConfig): void {
    const snapshot = configState.parseSnapshot(answer.config)
    if (!snapshot.ok) {
      this.settings.logger.error({ version: answer.version, errors: snapshot.failure }, 'configuration of a peer not understood')
      return
    }
    const adopted = configState.adoptSnapshot(this.state, snapshot.value)
    if (adopted.version > this.state.version) this.settings.logger.info({ version: adopted.version }, 'configuration taken over from a peer')
    this.replace(adopted)
  }

  private async copyIfDue (): Promise<void> {
    const { copies, timers, log } = this.settings
    const now = timers.now() as types.EpochMs
    if (copies === undefined || now - this.lastCopyAt < copyRetryMs) return
    if (!configState.isCopyDue(this.state, now) || !copies.isCopyWriter()) return
    this.lastCopyAt = now
    const id = crypto.randomUUID() as string as configState.ChangeId
    const copy = configState.makeCopy(this.state, { id, by: copies.author, at: now })
    // An append of unknown fate shows when the stream is read; until then the copy stays due.
    const appended = await log.append(configState.configStream, configState.encodeChange(copy))
    if (!appended.ok) this.settings.logger.warn({ failure: appended.failure }, 'copy of the configuration not confirmed')
  }
}

/** Starts to follow the stream at once. */
export function createConfigFollower (settings: ConfigFollowerSettings): ConfigFollower {
  return new StreamFollower(settings)
}

/** The document that a peer may take over; what `fetchFromPeers` gives to the other side. */
export function toPeerConfig (inForce: configState.ConfigSnapshot): unknown {
  return configState.toSnapshotDocument(inForce)
}
