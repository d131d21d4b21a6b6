/** Enforces account limits across all hosts. Each account is metered by one process, which is located like the owner of a program. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as hashText from '@eelgrasswind/hash-text'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as meterAccount from '@eelgrasswind/meter-account'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as accountCount from './account-count.js'
import * as accountOwners from './account-owners.js'
import * as memberName from './member-name.js'
import type * as meterCall from './meter-call.js'
import * as meterChannel from './meter-channel.js'
import * as recentMaximum from './recent-maximum.js'

/** Dependencies for account limits. */
export interface AccountLimitsPorts {
  /** Calls another process as the owner of an account group, with a timeout in ms. */
  readonly callPeer: (address: string, call: meterCall.MeterCall, timeoutMs: number) => Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer>
  readonly shards: Pick<ownShards.ShardOwner, 'locate' | 'getPartition' | 'listMembers' | 'refreshOwners' | 'leaseAgeMs' | 'leaseMs'>
  /** The store that keeps what the next owner of a group has to know. */
  readonly log: shardLog.ShardLog
  /** Name of this host, and the address at which this process answers others. */
  readonly host: string
  readonly address: string
  readonly routing: { readonly accounts: identifyClient.AccountDirectory, readonly version: number }
  /** Number of other hosts that report their load. With more hosts than shards, not all hosts are members of the group. */
  readonly peerCount: () => number
  /** Uniform in [0, 1). */
  readonly random: () => number
  /** Requests by which the operator allows an account to briefly exceed its limit. */
  readonly slack: number
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Number of groups into which accounts are partitioned. It bounds the number of owners that a host reports to, whatever the number of hosts. */
const accountGroupCount = 8
/** Timeout for the owner's answer, in ms; the owner makes no further calls. */
export const ownerTimeoutMs = 250
/** Hosts that are cut off still use their share of the limits: they are counted for at least this long, in ms. */
const hostMemoryMs = 15_000
/** Interval for removing idle accounts, in ms. */
const pruneIntervalMs = 5_000

const noAnswer: meterCall.NoOwnerAnswer = { type: 'noAnswer', ended: false }

/** The name whose shard's owner counts the account. */
export function getGroupName (account: types.AccountId): types.ProgramId {
  return formatGroupName(getGroup(account))
}

/** The group that an account belongs to. */
export function getGroup (account: types.AccountId): number {
  return hashText.hashText(account) % accountGroupCount
}

function formatGroupName (group: number): types.ProgramId {
  return `accounts ${group}` as types.ProgramId
}

/** Admits requests of accounts for the clients of this host, and meters accounts for all hosts as the owner of their group. */
export class AccountLimits {
  private readonly owners: accountOwners.AccountOwners
  private readonly channels: readonly meterChannel.MeterChannel[]
  private readonly recentHostCount: recentMaximum.RecentMaximum
  /** The member that answered last as the owner of each group, and its term. */
  private readonly answeredBy = new Map<number, { readonly member: string, readonly term: number }>()
  private readonly pruneTimer: timerService.Subscription

  constructor (private readonly ports: AccountLimitsPorts) {
    const { timers, decisions, host, random, routing } = ports
    this.recentHostCount = new recentMaximum.RecentMaximum(hostMemoryMs, timers)
    const getLimit = (account: types.AccountId): meterAccount.MeterLimit | undefined => this.getLimit(account)
    const getVersion = (): number => routing.version
    this.owners = new accountOwners.AccountOwners({ ...ports, getLimit, getVersion, countHosts: (reporterCount) => this.countHosts(reporterCount) })
    const channelPorts: meterChannel.MeterChannelPorts = {
      timers,
      decisions,
      host,
      incarnation: formatIncarnation(timers.now(), random()),
      callOwner: (call) => this.callOwner(call),
      getLimit,
      getVersion,
      isLimiting: () => routing.accounts.hasLimits,
      countHosts: () => this.countHosts(),
      random
    }
    this.channels = Array.from({ length: accountGroupCount }, (_, group) => new meterChannel.MeterChannel(group, channelPorts))
    this.pruneTimer = timers.every(pruneIntervalMs, () => { this.prune() })
  }

  /** Counts a request of the account if its limit allows it now. While nobody counts, it waits for the next owner until `latestAt`, in monotonic ms. */
  acquire (account: types.AccountId, position: meterAccount.RequestPosition, latestAt: number): accountCount.AcquireResult | Promise<accountCount.AcquireResult> {
    return this.getChannel(account).acquire(account, position, latestAt)
  }

  /** Undoes the count of a request that has not run and will not; `term`: as `acquire` gave it. */
  refund (account: types.AccountId, position: meterAccount.RequestPosition, term: number | undefined): void {
    this.getChannel(account).refund(account, position, term)
  }

  /** Applies the reports of another host or of this one, as the owner of the account group. */
  countReports (call: meterCall.MeterCall): Promise<meterCall.MeterCallAnswer> {
    return this.owners.countReports(call, this.getPartition(call.group))
  }

  /** Hands over the account groups that are counted by the owner of a shard, before this process releases the shard. */
  handOver (partition: shardLog.Partition): Promise<void> {
    return this.owners.handOver(partition, (group) => this.getPartition(group))
  }

  /** Stops reporting, counting and pruning. */
  close (): void {
    this.pruneTimer.cancel()
    this.owners.close()
    for (const channel of this.channels) channel.close()
  }

  private getChannel (account: types.AccountId): meterChannel.MeterChannel {
    return this.channels[getGroup(account)]!
  }

  private getLimit (account: types.AccountId): meterAccount.MeterLimit | undefined {
    const limit = this.ports.routing.accounts.findByName(account)?.limit
    return limit === undefined ? undefined : { ...limit, slack: this.ports.slack }
  }

  /** In a large fleet a process hears the load of some hosts only, but each host reports to the owner of a group. */
  private countHosts (reporterCount = 0): number {
    return this.recentHostCount.update(Math.max(this.ports.shards.listMembers().length, this.ports.peerCount() + 1, reporterCount))
  }

  /** The shard that the group's name hashes to: its owner counts the group. */
  private getPartition (group: number): shardLog.Partition {
    return this.ports.shards.getPartition(formatGroupName(group))
  }

  private async callOwner (call: meterCall.MeterCall): Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer> {
    const location = this.ports.shards.locate(this.getPartition(call.group))
    if (location.type === 'here') return this.countReports(call)
    const answer = location.type === 'member' ? await this.callMember(location.member, call) : noAnswer
    if (answer.type !== 'metered') void this.ports.shards.refreshOwners()
    return answer
  }

  private async callMember (member: string, call: meterCall.MeterCall): Promise<meterCall.MeterCallAnswer | meterCall.NoOwnerAnswer> {
    const answer = await this.ports.callPeer(memberName.parsePeerAddress(member), call, ownerTimeoutMs)
    switch (answer.type) {
      case 'metered':
        this.answeredBy.set(call.group, { member, term: answer.term })
        return answer
      // That another process has ended says nothing of the newest owner that the host knows.
      case 'noAnswer': return this.isNewestOwner(member, call) ? answer : noAnswer
      case 'notOwner': return answer
    }
  }

  private isNewestOwner (member: string, { group, knownTerm }: meterCall.MeterCall): boolean {
    const answered = this.answeredBy.get(group)
    return answered?.member === member && answered.term === knownTerm
  }

  private prune (): void {
    this.owners.prune()
    for (const channel of this.channels) channel.prune()
  }
}

/** Names a process: differs for each start of a host. */
function formatIncarnation (now: number, random: number): string {
  return `${now}-${random}`
}
