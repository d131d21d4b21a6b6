/** Counts the requests of accounts for all hosts, for the groups that this process owns. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountGroup from './account-group.js'
import * as groupTenure from './group-tenure.js'
import type * as meterCall from './meter-call.js'
import * as meterChannel from './meter-channel.js'

/** Dependencies of the owner's side. */
export interface AccountOwnersPorts {
  readonly shards: Pick<ownShards.ShardOwner, 'locate' | 'leaseAgeMs' | 'leaseMs'>
  readonly log: shardLog.ShardLog
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly getLimit: (account: types.AccountId) => meterAccount.MeterLimit | undefined
  readonly getVersion: () => number
  /** Calls another process, with a timeout in ms. */
  readonly callPeer: accountGroup.AccountGroupPorts['callPeer']
  /** Name of this host, and the address at which this process answers others. */
  readonly host: string
  readonly address: string
  /** Number of hosts that this process knows; remembers those that report. */
  readonly countHosts: (reporterCount: number) => number
}

/** Time that a call waits for a group to be opened, in ms. */
const openTimeoutMs = 150
/** Time from a call to its answer, whatever the store does, in ms; its sender waits for 250. */
const countTimeoutMs = 200
/** Time for the records of a handover, in ms: a slow store takes about 300. */
const handoverTimeoutMs = 900

/** The groups of this process. */
export class AccountOwners {
  private readonly groups = new Map<number, accountGroup.AccountGroup>()
  private readonly tenures = new Map<number, groupTenure.GroupTenure>()
  /** The newest term of each group that has ended here. */
  private readonly endedTerms = new Map<number, number>()

  constructor (private readonly ports: AccountOwnersPorts) {}

  /** Applies the reports of another host or of this one; `partition`: the shard whose owner counts the group. */
  async countReports (call: meterCall.MeterCall, partition: shardLog.Partition): Promise<meterCall.MeterCallAnswer> {
    const { timers, shards } = this.ports
    const decideBy = timers.monotonic() + countTimeoutMs
    const location = shards.locate(partition)
    if (location.type !== 'here') return this.refuse(call.group, 'elsewhere')
    const tenure = this.getTenure(call.group)
    tenure.noteReport(call, timers.monotonic())
    const group = this.getGroup(call.group, location.shard)
    if (group === undefined) return this.refuse(call.group, 'elsewhere')
    if (!group.isOpen) await timerService.withTimeout(timers, group.opened, openTimeoutMs)
    if (group.isClosed) return this.refuse(call.group, 'elsewhere')
    if (!group.isOpen) return { type: 'notOwner', reason: 'opening' }
    const decided = this.decideTenure(tenure, group.term)
    if (!meterAccount.isOwner(decided.tenure)) return { type: 'notOwner', reason: decided.tenure }
    const { hostCount, reporterCount } = decided
    const answers = await group.count(call, {
      share: meterAccount.computeOwnerShare(decided.tenure, reporterCount, hostCount),
      reportTtlMs: meterChannel.computeReportTtlMs(hostCount),
      decideBy
    })
    if (answers === undefined) return { type: 'notOwner', reason: 'outdated' }
    return { type: 'metered', term: group.term, hosts: hostCount, answers }
  }

  /** Hands over the groups that are counted by the owner of a shard, before the shard is released. */
  async handOver (partition: shardLog.Partition, getPartition: (group: number) => shardLog.Partition): Promise<void> {
    const name = shardLog.formatPartitionName(partition)
    const handedOver = [...this.groups].filter(([group]) => shardLog.formatPartitionName(getPartition(group)) === name)
    await Promise.all(handedOver.map(([, group]) => group.handOver(handoverTimeoutMs)))
  }

  /** Removes accounts that nobody uses. */
  prune (): void {
    const reportTtlMs = meterChannel.computeReportTtlMs(this.ports.countHosts(0))
    for (const group of this.groups.values()) group.prune(reportTtlMs)
  }

  close (): void {
    for (const group of this.groups.values()) group.close()
  }

  private refuse (group: number, reason: meterCall.NotOwnerAnswer['reason']): meterCall.NotOwnerAnswer {
    const owned = this.groups.get(group)
    if (owned !== undefined) this.end(group, owned)
    return { type: 'notOwner', reason, endedTerm: this.endedTerms.get(group) }
  }

  private end (group: number, owned: accountGroup.AccountGroup): void {
    owned.close()
    this.endedTerms.set(group, owned.term)
  }

  /** The group in the term of its shard; `undefined` if it is not open and the shard is being handed over, which would leave it out. */
  private getGroup (group: number, { epoch: term, state }: Pick<ownShards.OwnedShard, 'epoch' | 'state'>): accountGroup.AccountGroup | undefined {
    const known = this.groups.get(group)
    if (known?.term === term) return known
    if (state === 'closing') return undefined
    if (known !== undefined) this.end(group, known)
    const { shards, host, address } = this.ports
    const formerOwnerMs = Math.max(shards.leaseMs, meterChannel.computeReportTtlMs(this.ports.countHosts(0)))
    const opened = new accountGroup.AccountGroup({ group, term, host, address, formerOwnerMs }, this.ports)
    this.groups.set(group, opened)
    return opened
  }

  private getTenure (group: number): groupTenure.GroupTenure {
    const known = this.tenures.get(group)
    if (known !== undefined) return known
    const tenure = new groupTenure.GroupTenure()
    this.tenures.set(group, tenure)
    return tenure
  }

  private decideTenure (tenure: groupTenure.GroupTenure, term: number): DecidedTenure {
    const { shards, timers } = this.ports
    const now = timers.monotonic()
    const ttlMs = meterChannel.computeReportTtlMs(this.ports.countHosts(0))
    const reporterCount = tenure.countReporters(ttlMs, now)
    const hostCount = this.ports.countHosts(reporterCount)
    const facts = { term, newestTerm: tenure.newestTerm, leaseAgeMs: shards.leaseAgeMs, leaseMs: shards.leaseMs, reporterCount, hostCount }
    return { tenure: meterAccount.decideTenure(facts), reporterCount, hostCount }
  }
}

interface DecidedTenure {
  readonly tenure: meterAccount.Tenure
  readonly reporterCount: number
  readonly hostCount: number
}
