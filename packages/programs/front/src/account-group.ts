/** One group of accounts at the process that owns it: counts what hosts report, and stores what its next owner has to know. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountRecords from './account-records.js'
import type * as meterCall from './meter-call.js'

/** The group, its ownership term and its timing. */
export interface AccountGroupSettings {
  readonly group: number
  readonly term: number
  /** Name of this host, and the address at which this process answers others. */
  readonly host: string
  readonly address: string
  /** Time for which a former owner that has not handed over may still count, in ms. */
  readonly formerOwnerMs: number
}

/** Dependencies of a group. */
export interface AccountGroupPorts {
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  /** Returns the limit of an account; `undefined` if it has none. */
  readonly getLimit: (account: types.AccountId) => meterAccount.MeterLimit | undefined
  /** Returns the configuration version in force. */
  readonly getVersion: () => number
  /** Calls another process, with a timeout in ms. */
  readonly callPeer: (address: string, call: meterCall.MeterCall, timeoutMs: number) => Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer>
}

/** What a report is judged by, besides its content. */
export interface CountContext extends Pick<meterAccount.ReportContext, 'share' | 'reportTtlMs'> {
  /** When its requests are decided at the latest, although the store has not answered, monotonic ms. */
  readonly decideBy: number
}

type GroupState = 'opening' | 'open' | 'closed'

/** Without a record no owner has ever counted. */
const noFormerOwner: accountRecords.OwnerRecord = { type: 'handedOver', term: -1, address: '', isSole: true, restedMs: Infinity }
/** Time that a report waits for a lower floor to be stored, in ms. */
const floorTimeoutMs = 150
/** Timeout of a call to the former owner, and the pause before the next look, in ms. */
const formerTimeoutMs = 250
const formerRetryMs = 100
/** Number of floors that a report may need one after the other. */
const maxFloorSteps = 2

/** The counts of a group from the beginning of an ownership term to its end. */
export class AccountGroup {
  private readonly writer: ownShards.ShardWriter
  private readonly lastSequences = new Map<string, number>()
  /** From the time on at which this owner activates the group. */
  private meter: meterAccount.GroupMeter | undefined
  private state: GroupState = 'opening'
  private lastWrite: Promise<unknown> = Promise.resolve()
  private former: accountRecords.OwnerRecord = noFormerOwner
  /** Until when a former owner may still count, monotonic ms. */
  private soleFrom = Infinity
  /** Resolves when the group is open, or lost. */
  readonly opened: Promise<void>

  constructor (private readonly settings: AccountGroupSettings, private readonly ports: AccountGroupPorts) {
    this.writer = new ownShards.ShardWriter(accountRecords.getGroupPartition(settings.group), settings.term, {
      ...ports,
      onLost: (reason) => { this.handleLost(reason) }
    })
    this.opened = this.open()
  }

  get term (): number {
    return this.settings.term
  }

  get isOpen (): boolean {
    return this.state === 'open'
  }

  /** Whether the ownership has ended. */
  get isClosed (): boolean {
    return this.state === 'closed'
  }

  /** Applies a call's reports; `undefined` if the process has sent a later call, or if the ownership ends meanwhile. */
  async count (call: meterCall.MeterCall, { decideBy, ...context }: CountContext): Promise<readonly meterAccount.MeterAnswer[] | undefined> {
    const reporter = `${call.host} ${call.incarnation}`
    const { meter } = this
    if (meter === undefined || this.state === 'opening' || !this.isNewest(reporter, call.sequence)) return undefined
    const createContext = (): meterAccount.ReportContext => ({ ...context, reporter, configVersion: call.version, now: this.ports.timers.monotonic() })
    meter.advance(this.ports.timers.monotonic(), context.share)
    if (call.ended !== undefined) this.noteEnded(meter, call.ended, context.reportTtlMs)
    for (const report of call.reports) this.charge(meter, report, createContext(), call.host)
    await this.lowerFloors(meter, call.reports, decideBy)
    if (!this.isOpen) return undefined
    const answers = call.reports.map((report) => meter.decide(report, createContext()))
    this.logOpenings(meter, call.host)
    return answers
  }

  /** Ends the counting and stores what is left, so that the next owner goes on from there. */
  async handOver (timeoutMs: number): Promise<void> {
    const { meter } = this
    // Before there is a meter, the store still holds what the former owner has left.
    if (meter === undefined || this.isClosed) {
      this.close()
      return
    }
    this.state = 'closed'
    const { states, restedMs } = meter.prepareHandover(this.ports.timers.monotonic())
    const records = [...states.map(accountRecords.encodeAccount), accountRecords.encodeOwner({ ...this.ownRecord, type: 'handedOver', restedMs })]
    await timerService.withTimeout(this.ports.timers, this.writer.commit(records), timeoutMs)
    this.close()
  }

  /** Removes accounts that nobody uses. */
  prune (reportTtlMs: number): void {
    this.meter?.prune(this.ports.timers.monotonic(), reportTtlMs)
  }

  /** Stops counting at once. */
  close (): void {
    this.state = 'closed'
    this.writer.close()
  }

  private charge (meter: meterAccount.GroupMeter, report: meterCall.MeterReport, context: meterAccount.ReportContext, host: string): void {
    const requests = meter.charge(report, context)
    if (requests > 0) this.ports.decisions.record({ event: 'accountOverdrawn', account: report.account, group: this.settings.group, term: this.term, reporter: host, requests })
  }

  private handleLost (reason: string): void {
    if (this.state !== 'closed') this.ports.decisions.record({ event: 'accountGroupLost', group: this.settings.group, term: this.term, reason })
    this.state = 'closed'
  }

  private async open (): Promise<void> {
    const { timers, decisions } = this.ports
    const startedAt = timers.monotonic()
    const fencing = await this.writer.open()
    const fencedAt = timers.monotonic()
    const records = fencing.type === 'lost' ? undefined : await this.loadRecords()
    if (records === undefined || this.state !== 'opening') return
    const { stored, former } = records
    this.former = former
    const isAlone = former.type === 'handedOver' && former.isSole
    this.soleFrom = isAlone ? fencedAt : fencedAt + this.settings.formerOwnerMs
    const restedMs = former.type === 'handedOver' ? former.restedMs : 0
    const meter = new meterAccount.GroupMeter({ term: this.term, startsAt: this.soleFrom, restedMs, stored })
    const writes = this.beginAccounts(meter, [...stored.keys()])
    this.meter = meter
    const activation = await this.writer.commit([accountRecords.encodeOwner(this.ownRecord), ...writes.map(accountRecords.encodeAccount)])
    if (activation.type === 'lost' || this.state !== 'opening') return
    for (const write of writes) meter.confirmFloor(write)
    this.state = 'open'
    decisions.record({ event: 'accountGroupOpened', group: this.settings.group, term: this.term, stored: stored.size, handedOver: former.type === 'handedOver', tookMs: Math.round(timers.monotonic() - startedAt) })
    if (!isAlone) void this.becomeSole(meter)
  }

  /** Begins to count the accounts of which something is stored, and plans floors below what is left of them. */
  private beginAccounts (meter: meterAccount.GroupMeter, accounts: readonly types.AccountId[]): meterAccount.StoredState[] {
    const { getLimit, getVersion, timers } = this.ports
    return accounts.flatMap((account) => {
      const limit = getLimit(account)
      if (limit === undefined) return []
      meter.begin(account, limit, getVersion())
      return meter.planFloor({ account, asked: meterAccount.noRequests }, timers.monotonic()) ?? []
    })
  }

  private async loadRecords (): Promise<LoadedRecords | undefined> {
    const stored = new Map<types.AccountId, meterAccount.MeterState>()
    let former = noFormerOwner
    const isLoaded = await ownShards.readNewestRecords(accountRecords.getGroupPartition(this.settings.group), { ...this.ports, isWanted: () => this.state === 'opening' }, ({ key, value }) => {
      const record = this.decodeRecord(key, value)
      if (record.type === 'account') stored.set(record.stored.account, record.stored.state)
      else former = record.owner
    })
    return isLoaded ? { stored, former } : undefined
  }

  private decodeRecord (key: string, value: Uint8Array): accountRecords.GroupRecord {
    try {
      return accountRecords.decodeRecord(key, value)
    } catch (err) {
      this.ports.decisions.record({ event: 'accountRecordUnreadable', group: this.settings.group, key, err })
      return accountRecords.assumeRecord(key)
    }
  }

  /** Whether no former owner may count any more. */
  private get isSole (): boolean {
    return this.ports.timers.monotonic() >= this.soleFrom
  }

  private get ownRecord (): accountRecords.ActiveOwner {
    return { type: 'active', term: this.term, address: this.settings.address, isSole: this.isSole }
  }

  /** Waits until no former owner counts any more, and stores that. */
  private async becomeSole (meter: meterAccount.GroupMeter): Promise<void> {
    while (this.isOpen && !this.isSole) {
      // Owners before the former one can't be told.
      if (this.former.isSole && await this.hasFormerStopped()) this.noteSole(meter, this.ports.timers.monotonic())
      else await timerService.sleep(this.ports.timers, formerRetryMs)
    }
    if (this.isOpen) await this.writer.commit([accountRecords.encodeOwner(this.ownRecord)])
  }

  /** Tells the former owner of this one; whether it answers that it counts no more, or its process has ended. */
  private async hasFormerStopped (): Promise<boolean> {
    const { group, term, host, address } = this.settings
    // The host has started again.
    if (this.former.address === address) return true
    const call: meterCall.MeterCall = { type: 'meter', group, version: this.ports.getVersion(), host, incarnation: '', sequence: 0, knownTerm: term, usesShare: true, reports: [] }
    const answer = await this.ports.callPeer(this.former.address, call, formerTimeoutMs)
    return answer.type === 'notOwner' || (answer.type === 'noAnswer' && answer.ended)
  }

  /** Takes what has become free since the former owner ended, as far as hosts can't have used it as their share. */
  private noteEnded (meter: meterAccount.GroupMeter, ended: meterCall.EndedTerm, reportTtlMs: number): void {
    if (ended.term === this.former.term && this.former.isSole) this.noteSole(meter, this.ports.timers.monotonic() - Math.min(ended.agoMs, reportTtlMs))
  }

  /** Notes that no former owner has counted since a time, monotonic ms. */
  private noteSole (meter: meterAccount.GroupMeter, since: number): void {
    meter.moveStart(since)
    this.soleFrom = Math.min(this.soleFrom, this.ports.timers.monotonic())
  }

  /** Calls of a process may overtake each other; an older one says less. */
  private isNewest (reporter: string, sequence: number): boolean {
    if (sequence < (this.lastSequences.get(reporter) ?? -Infinity)) return false
    this.lastSequences.set(reporter, sequence)
    return true
  }

  /** Stores lower floors where reports need them, and waits for those without which requests would be refused. */
  private async lowerFloors (meter: meterAccount.GroupMeter, reports: readonly meterCall.MeterReport[], decideBy: number): Promise<void> {
    const { timers } = this.ports
    for (let step = 0; step < maxFloorSteps && this.isOpen; step += 1) {
      this.storeFloors(meter, reports)
      const leftMs = decideBy - timers.monotonic()
      if (leftMs <= 0 || !reports.some((report) => meter.needsLowerFloor(report))) return
      await timerService.withTimeout(timers, this.lastWrite, Math.min(floorTimeoutMs, leftMs))
    }
  }

  private storeFloors (meter: meterAccount.GroupMeter, reports: readonly meterCall.MeterReport[]): void {
    const now = this.ports.timers.monotonic()
    const writes = reports.flatMap((report) => meter.planFloor(report, now) ?? [])
    if (writes.length === 0) return
    this.lastWrite = this.writer.commit(writes.map(accountRecords.encodeAccount)).then((outcome) => {
      if (outcome.type === 'committed') for (const write of writes) meter.confirmFloor(write)
    })
  }

  private logOpenings (meter: meterAccount.GroupMeter, reporter: string): void {
    for (const { level, ...opening } of meter.takeOpenings()) {
      this.ports.decisions.record({ event: 'accountOpened', group: this.settings.group, term: this.term, reporter, ...opening, requestsLeft: Math.round(level) })
    }
  }
}

interface LoadedRecords {
  readonly stored: ReadonlyMap<types.AccountId, meterAccount.MeterState>
  readonly former: accountRecords.OwnerRecord
}
