/**
 * Keeps the configuration in force of one process up to date: from the stream, and from peers while the log is
 * unavailable.
 */
import * as crypto from 'node:crypto'
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as logger from '@eelgrasswind/logger'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Answer of a peer: a document made by `toPeerConfig`, and its version. */
export interface PeerConfig {
  readonly version: types.ConfigVersion
  readonly config: unknown
}

/** Settings for writing copies of the configuration before its records expire. */
export interface CopySettings {
  /** Author named in the records. */
  readonly author: string
  /** Whether this process should write copies now; one process of the fleet should, and several do no harm. */
  readonly isCopyWriter: () => boolean
}

/** Settings and dependencies of a follower. */
export interface ConfigFollowerSettings {
  readonly log: logClient.LogClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** Poll interval of the stream, in ms. */
  readonly pollMs?: number
  /** Fetches a configuration newer than the given version from a few peers; null if none has one. */
  readonly fetchFromPeers?: (knownVersion: types.ConfigVersion) => Promise<PeerConfig | null>
  /** Without it, the process writes no copies. */
  readonly copies?: CopySettings
}

/** Called with each new version in force. */
export type ConfigListener = (snapshot: configState.ConfigSnapshot) => void

/** Follows the configuration stream. */
export interface ConfigFollower {
  /** The configuration in force, or undefined if none is known yet. */
  current: () => configState.ConfigSnapshot | undefined
  /** Why the known version may be outdated, or null if it is current. */
  gap: () => configState.GapCause | null
  /** Calls the listener with every new version from now on. */
  subscribe: (listener: ConfigListener) => timerService.Subscription
  /** Resolves once a configuration is known. */
  waitForFirst: () => Promise<configState.ConfigSnapshot>
  /** Reads the stream now, for example because a peer's answer names a higher version. */
  poll: () => Promise<void>
  close: () => void
}

export const defaultPollMs = 1000
const maxPageRecords = 500
/** Minimum interval between two attempts to write a copy, in ms. */
const copyRetryDelayMs = 30_000

class StreamFollower implements ConfigFollower {
  private state = configState.initialState
  private readonly listeners = new Set<ConfigListener>()
  private readonly pollTimer: timerService.Subscription
  private isClosed = false
  private pendingRead: Promise<void> | undefined
  private isAskingPeers = false
  private lastCopyAtMs = -Infinity
  private isFailing = false

  constructor (private readonly settings: ConfigFollowerSettings) {
    this.pollTimer = settings.timers.every(settings.pollMs ?? defaultPollMs, () => this.tick())
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
    const current = this.current()
    if (current !== undefined) return Promise.resolve(current)
    return new Promise((resolve) => {
      const subscription = this.subscribe((snapshot) => {
        subscription.cancel()
        resolve(snapshot)
      })
    })
  }

  poll (): Promise<void> {
    this.pendingRead ??= this.readStream().finally(() => { this.pendingRead = undefined })
    return this.pendingRead
  }

  close (): void {
    this.isClosed = true
    this.pollTimer.cancel()
    this.listeners.clear()
  }

  private tick (): void {
    // A read still in flight after a whole poll interval may indicate an outage of the log.
    if (this.pendingRead !== undefined || this.state.gap !== null) void this.askPeers()
    void this.poll()
  }

  private async readStream (): Promise<void> {
    for (;;) {
      const page = await this.settings.log.read(configState.configStream, configState.nextOffset(this.state), { limit: maxPageRecords })
      if (this.isClosed) return
      if (!page.ok) return this.handleReadFailure(page.failure)
      this.isFailing = false
      const offsetBefore = configState.nextOffset(this.state)
      this.applyPage(page.value)
      const offsetAfter = configState.nextOffset(this.state)
      if (offsetAfter >= page.value.next) break
      if (offsetAfter === offsetBefore) return
    }
    await this.copyIfDue()
  }

  private handleReadFailure (failure: errors.Failure): void {
    if (!this.isFailing) this.settings.logger.warn({ failure }, 'failed to read the configuration stream; asking peers')
    this.isFailing = true
    void this.askPeers()
  }

  private applyPage (page: logClient.LogPage): void {
    const next = configState.nextOffset(this.state)
    if (page.first > next) {
      this.settings.logger.error({ from: next, first: page.first }, 'configuration records expired before they were read; waiting for a copy or a snapshot of a peer')
      this.setState(configState.skipExpired(this.state, page.first))
    }
    for (const record of page.records) {
      const { state, effect } = configState.applyRecord(this.state, record)
      this.logEffect(record, effect)
      this.setState(state)
    }
  }

  private logEffect (record: configState.ConfigRecord, effect: configState.Effect): void {
    const log = this.settings.logger
    const { offset } = record
    switch (effect.type) {
      case 'accepted': return log.info({ offset, version: effect.version }, 'configuration change accepted')
      case 'rejected': return log.warn({ offset, reason: effect.reason, detail: effect.detail }, 'configuration record rejected')
      case 'republished': return log.debug({ offset, version: effect.version }, 'copy of the configuration in force read')
      case 'restored': return log.info({ offset, version: effect.version }, 'configuration restored from a copy')
      case 'unknownFormat': return log.error({ offset, format: effect.format }, 'configuration record has a newer format; upgrade this process')
      case 'pending': return log.debug({ offset }, 'configuration record is pending until a copy is read')
      case 'repeated':
      case 'ahead': return
      default: errors.assertNever(effect)
    }
  }

  private setState (state: configState.ConfigState): void {
    const isNewer = state.version > this.state.version
    this.state = state
    if (!isNewer) return
    for (const listener of [...this.listeners]) this.notify(listener, state)
  }

  private notify (listener: ConfigListener, snapshot: configState.ConfigSnapshot): void {
    try {
      listener(snapshot)
    } catch (err) {
      this.settings.logger.error({ err, version: snapshot.version }, 'configuration listener failed')
    }
  }

  private async askPeers (): Promise<void> {
    const { fetchFromPeers } = this.settings
    if (fetchFromPeers === undefined || this.isAskingPeers || this.isClosed) return
    this.isAskingPeers = true
    // At a gap, a peer with the same version can close it too.
    const knownVersion = (this.state.gap === null ? this.state.version : Math.max(0, this.state.version - 1)) as types.ConfigVersion
    try {
      const answer = await fetchFromPeers(knownVersion)
      if (answer !== null && !this.isClosed) this.adoptPeerConfig(answer)
    } catch (err) {
      this.settings.logger.warn({ err }, 'failed to fetch the configuration from peers')
    } finally {
      this.isAskingPeers = false
    }
  }

  private adoptPeerConfig (answer: PeerConfig): void {
    const snapshot = configState.parseSnapshot(answer.config)
    if (!snapshot.ok) {
      this.settings.logger.error({ version: answer.version, errors: snapshot.failure }, 'invalid configuration snapshot from a peer')
      return
    }
    const adopted = configState.adoptSnapshot(this.state, snapshot.value)
    if (adopted.version > this.state.version) this.settings.logger.info({ version: adopted.version }, 'configuration adopted from a peer')
    this.setState(adopted)
  }

  private async copyIfDue (): Promise<void> {
    const { copies, timers, log } = this.settings
    const now = timers.now() as types.EpochMs
    if (copies === undefined || now - this.lastCopyAtMs < copyRetryDelayMs) return
    if (!configState.isCopyDue(this.state, now) || !copies.isCopyWriter()) return
    this.lastCopyAtMs = now
    const id = crypto.randomUUID() as string as configState.ChangeId
    const copy = configState.makeCopy(this.state, { id, by: copies.author, at: now })
    // If the outcome of the append is unknown, the next read of the stream shows it; until then the copy stays due.
    const appended = await log.append(configState.configStream, configState.encodeChange(copy))
    if (!appended.ok) this.settings.logger.warn({ failure: appended.failure }, 'append of a configuration copy was not confirmed')
  }
}

/** Creates a follower and starts to read the stream at once. */
export function createConfigFollower (settings: ConfigFollowerSettings): ConfigFollower {
  return new StreamFollower(settings)
}

/** Converts a configuration to the document that peers receive from `fetchFromPeers`. */
export function toPeerConfig (snapshot: configState.ConfigSnapshot): unknown {
  return configState.toSnapshotDocument(snapshot)
}
