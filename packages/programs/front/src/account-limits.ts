/** Keeps the client accounts within their limits over all hosts: each account is counted by one process, found like the owner of a program. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as hashText from '@eelgrasswind/hash-text'
import type * as identifyClient from '@eelgrasswind/identify-client'
import * as meterAccount from '@eelgrasswind/meter-account'
import type * as ownShards from '@eelgrasswind/own-shards'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as memberName from './member-name.js'
import * as meterChannel from './meter-channel.js'
import * as peerCalls from './peer-calls.js'

/** What it takes to limit accounts. */
export interface AccountLimitsPorts extends peerCalls.PeerCallPorts {
  readonly shards: Pick<ownShards.ShardOwner, 'locate' | 'getPartition' | 'listMembers' | 'refreshOwners'>
  readonly routing: { readonly accounts: identifyClient.AccountDirectory, readonly version: number }
  /** Other hosts that are heard of: where there are more hosts than shards, not all of them are members. */
  readonly peerCount: () => number
  /** Requests beyond a limit that the operator tolerates in a short time. */
  readonly slack: number
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Accounts are counted in so many groups: a host reports to as many processes at most, whatever the size of the fleet. */
const groupCount = 8
/** Time for the owner's answer, in ms: it asks nobody else. */
const callTimeoutMs = 250
/** Time between two looks for accounts that are quiet, in ms. */
const pruneMs = 5_000

/** Lets requests of accounts through, here for the clients of this host and as the owner for other hosts. */
export class AccountLimits {
  private readonly book = new meterAccount.MeterRegistry()
  private readonly channels: readonly meterChannel.MeterChannel[]
  private readonly pruning: timerService.Subscription

  constructor (private readonly ports: AccountLimitsPorts) {
    const { timers, decisions, shards } = ports
    const channelPorts: meterChannel.MeterChannelPorts = {
      timers,
      decisions,
      call: (call) => this.call(call),
      limitOf: (account) => this.limitOf(account),
      version: () => ports.routing.version,
      hosts: () => Math.max(shards.listMembers().length, ports.peerCount() + 1)
    }
    this.channels = Array.from({ length: groupCount }, (_, group) => new meterChannel.MeterChannel(group, channelPorts))
    this.pruning = timers.every(pruneMs, () => { this.prune() })
  }

  /** Whether a request of the account may be sent now; if so, it is counted. */
  take (account: types.AccountId, part: meterAccount.RequestPosition): meterChannel.Taken | Promise<meterChannel.Taken> {
    return this.channelOf(account).take(account, part)
  }

  /** A request that was counted has not run, and will not. */
  refund (account: types.AccountId, part: meterAccount.RequestPosition): void {
    this.channelOf(account).refund(account, part)
  }

  /** Counts for another host, or for this one. */
  countReports (call: meterChannel.MeterCall): meterChannel.MeterCallAnswer {
    const place = this.locate(call.group)
    if (place.type !== 'here') return { type: 'notOwner' }
    const now = this.ports.timers.monotonic()
    return { type: 'metered', answers: call.reports.map((report) => this.book.applyReport(report, place.shard.epoch, call.version, now)) }
  }

  close (): void {
    this.pruning.cancel()
    for (const channel of this.channels) channel.close()
  }

  private channelOf (account: types.AccountId): meterChannel.MeterChannel {
    return this.channels[hashText.hashText(account) % groupCount]!
  }

  private limitOf (account: types.AccountId): meterAccount.MeterLimit | undefined {
    const limit = this.ports.routing.accounts.findByName(account)?.limit
    return limit === undefined ? undefined : { ...limit, slack: this.ports.slack }
  }

  /** A group is counted by whoever owns the shard that its name falls into. */
  private locate (group: number): ownShards.ShardLocation {
    const { shards } = this.ports
    return shards.locate(shards.getPartition(`accounts ${group}` as types.ProgramId))
  }

  private async call (call: meterChannel.MeterCall): Promise<meterChannel.MeterCallAnswer | undefined> {
    const place = this.locate(call.group)
    if (place.type === 'here') return this.countReports(call)
    const answer = place.type === 'member'
      ? await peerCalls.callPeer<meterChannel.MeterCallAnswer>(this.ports, memberName.parsePeerAddress(place.member), call, callTimeoutMs)
      : undefined
    if (answer?.type !== 'metered') void this.ports.shards.refreshOwners()
    return answer
  }

  private prune (): void {
    this.book.prune(this.ports.timers.monotonic())
    for (const channel of this.channels) channel.prune()
  }
}
