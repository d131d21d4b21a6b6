/** Hosts with their account limits on simulated links, for tests. */
import * as decisionLog from '@eelgrasswind/decision-log'
import * as identifyClient from '@eelgrasswind/identify-client'
import * as ownShards from '@eelgrasswind/own-shards'
import * as relayStore from '@eelgrasswind/relay-store'
import * as shardLog from '@eelgrasswind/shard-log'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as accountLimits from './account-limits.js'
import * as memberName from './member-name.js'
import * as peerLiveness from './peer-liveness.js'
import * as peerFailureDetector from './peer-failure-detector.js'
import * as testLimits from './test-limits.js'

/** What the store does to the calls of one host. */
export type StoreFault = 'refuse' | 'silent' | 'loseAnswers'

/** The store as the hosts see it. */
export interface SimulatedStore {
  readonly connect: (host: number) => shardLog.ShardLog
  readonly setFault: (host: number, fault: StoreFault, isBroken: boolean) => void
}

/** Number of hosts, unless a test chooses another one. */
export const hostCount = 31
/** The account that all requests belong to. */
export const account = 'coaches' as types.AccountId
/** Partitions of each topic of shards. */
export const partitionsPerTopic = 16
/** One way between two hosts, in ms. */
const linkMs = 1
/** Timeouts of calls between hosts, in ms. */
const relayTimeoutMs = 1_600
const pingTimeoutMs = 200
const announceTimeoutMs = 500
/** Interval between two load reports, and for how long one is remembered, in ms. */
const loadReportMs = 400
const loadReportTtlMs = 3_000
/** Time for which a process that stops still serves clients after its handover, in ms. */
const drainMs = 600
/** Time until all processes have joined, in ms. */
const settleMs = 3_000

/** A fault of a set of hosts; times are ms since the start of traffic. */
export type Fault =
  /** Each host is partitioned from all others and from the store. */
  | { readonly type: 'isolate', readonly hosts: readonly number[], readonly at: number, readonly forMs: number }
  /** The hosts are partitioned from the others but reach each other; `store`: whether they reach the store. */
  | { readonly type: 'split', readonly hosts: readonly number[], readonly store: boolean, readonly at: number, readonly forMs: number }
  /** The store refuses the hosts, or does not answer them. */
  | { readonly type: 'store', readonly hosts: readonly number[], readonly how: StoreFault, readonly at: number, readonly forMs: number }
  /** The processes are told to stop, hand over and end; new ones start after `forMs`. */
  | { readonly type: 'stop', readonly hosts: readonly number[], readonly at: number, readonly forMs: number }
  /** The processes are killed; new ones start after `forMs`. */
  | { readonly type: 'kill', readonly hosts: readonly number[], readonly at: number, readonly forMs: number }
  /** The processes stand still and then go on. */
  | { readonly type: 'freeze', readonly hosts: readonly number[], readonly at: number, readonly forMs: number }
  /** The process that counts the account is killed, frozen or isolated at that moment. */
  | { readonly type: 'owner', readonly how: OwnerFault, readonly at: number, readonly forMs: number }

/** What happens to the process that counts the account. */
export type OwnerFault = 'kill' | 'stop' | 'freeze' | 'isolate'

/** The timers of one process: they wait while it stands still and stop when it is killed. */
class ProcessTimers implements timerService.TimerService {
  isDead = false
  frozenUntil = -Infinity

  constructor (private readonly timers: timerService.TimerService) {}

  now (): number {
    return this.timers.now()
  }

  monotonic (): number {
    return this.timers.monotonic()
  }

  get isFrozen (): boolean {
    return this.monotonic() < this.frozenUntil
  }

  after (delayMs: number, run: () => void): timerService.Subscription {
    let isCancelled = false
    const fire = (): void => {
      if (isCancelled || this.isDead) return
      if (this.isFrozen) this.timers.after(this.frozenUntil - this.monotonic(), fire)
      else run()
    }
    const subscription = this.timers.after(delayMs, fire)
    return {
      cancel: () => {
        isCancelled = true
        subscription.cancel()
      }
    }
  }

  every (periodMs: number, run: () => void): timerService.Subscription {
    let isCancelled = false
    let subscription = this.after(periodMs, fire.bind(this))
    function fire (this: ProcessTimers): void {
      if (isCancelled) return
      subscription = this.after(periodMs, fire.bind(this))
      run()
    }
    return {
      cancel: () => {
        isCancelled = true
        subscription.cancel()
      }
    }
  }
}

/** One front process, as far as account limits need it. */
interface Process {
  readonly timers: ProcessTimers
  readonly shards: ownShards.ShardOwner
  readonly limits: accountLimits.AccountLimits
  readonly detector: peerFailureDetector.PeerFailureDetector
  readonly directLog: shardLog.ShardLog
}

/** Dependencies of a cluster. */
export interface ClusterPorts {
  readonly store: SimulatedStore
  readonly timers: timerService.ManualTimers
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly hostCount?: number
}

/** Hosts with their processes, the links between them and the store. */
export class Cluster {
  private readonly processes: (Process | undefined)[] = []
  /** Hosts with the same number reach each other. */
  private readonly side: number[] = []
  /** When each host last heard each other one, monotonic ms. */
  private readonly heardAt = new Map<string, number>()
  private nextSide = 1
  private readonly hostCount: number

  constructor (private readonly limit: testLimits.Limit, private readonly ports: ClusterPorts) {
    this.hostCount = ports.hostCount ?? hostCount
  }

  async start (): Promise<void> {
    for (let host = 0; host < this.hostCount; host += 1) {
      this.side[host] = 0
      this.processes[host] = this.startProcess(host)
    }
    this.ports.timers.every(loadReportMs, () => { this.shareLoads() })
    await this.ports.timers.advanceAsync(settleMs)
  }

  get (host: number): Process | undefined {
    return this.processes[host]
  }

  /** Whether clients can use the host. */
  isServing (host: number): boolean {
    const process = this.processes[host]
    return process !== undefined && !process.timers.isFrozen
  }

  /** The host whose process counts the account, as the majority of hosts sees it. */
  findOwner (): number {
    const votes = new Map<number, number>()
    for (const process of this.processes) {
      const location = process?.shards.locate(process.shards.getPartition(this.groupName))
      const owner = location?.type === 'here' ? this.processes.indexOf(process) : location?.type === 'member' ? hostOf(memberName.parsePeerAddress(location.member)) : undefined
      if (owner !== undefined) votes.set(owner, (votes.get(owner) ?? 0) + 1)
    }
    return [...votes].sort(([, a], [, b]) => b - a)[0]?.[0] ?? 0
  }

  apply (fault: Fault): void {
    switch (fault.type) {
      case 'isolate':
        for (const host of fault.hosts) this.partition([host], false, fault.forMs)
        return
      case 'split':
        this.partition(fault.hosts, fault.store, fault.forMs)
        return
      case 'store':
        for (const host of fault.hosts) this.breakStore(host, fault.how, fault.forMs)
        return
      case 'stop':
        for (const host of fault.hosts) void this.stop(host, fault.forMs)
        return
      case 'kill':
        for (const host of fault.hosts) this.kill(host, fault.forMs)
        return
      case 'freeze':
        for (const host of fault.hosts) this.freeze(host, fault.forMs)
        return
      case 'owner':
        this.applyToOwner(fault.how, fault.forMs)
    }
  }

  private applyToOwner (how: OwnerFault, forMs: number): void {
    const owner = this.findOwner()
    switch (how) {
      case 'kill':
        this.kill(owner, forMs)
        return
      case 'stop':
        void this.stop(owner, forMs)
        return
      case 'freeze':
        this.freeze(owner, forMs)
        return
      case 'isolate':
        this.partition([owner], false, forMs)
    }
  }

  private get groupName (): types.ProgramId {
    return accountLimits.getGroupName(account)
  }

  private partition (hosts: readonly number[], store: boolean, forMs: number): void {
    const side = this.nextSide++
    for (const host of hosts) this.side[host] = side
    if (!store) for (const host of hosts) this.breakStore(host, 'silent', forMs)
    this.ports.timers.after(forMs, () => { for (const host of hosts) if (this.side[host] === side) this.side[host] = 0 })
  }

  private breakStore (host: number, how: StoreFault, forMs: number): void {
    this.ports.store.setFault(host, how, true)
    this.ports.timers.after(forMs, () => { this.ports.store.setFault(host, how, false) })
  }

  private kill (host: number, forMs: number): void {
    const process = this.processes[host]
    if (process === undefined) return
    this.end(process)
    this.processes[host] = undefined
    this.ports.timers.after(forMs, () => { this.processes[host] = this.startProcess(host) })
  }

  /** Serves its clients until it has handed over, as a process does that is told to stop. */
  private async stop (host: number, forMs: number): Promise<void> {
    const process = this.processes[host]
    if (process === undefined) return
    await process.shards.leave()
    await timerService.sleep(this.ports.timers, drainMs)
    if (this.processes[host] === process) this.kill(host, forMs)
  }

  private end ({ timers, shards, limits }: Process): void {
    timers.isDead = true
    shards.close()
    limits.close()
  }

  private freeze (host: number, forMs: number): void {
    const process = this.processes[host]
    if (process !== undefined) process.timers.frozenUntil = this.ports.timers.monotonic() + forMs
  }

  private startProcess (host: number): Process {
    const timers = new ProcessTimers(this.ports.timers)
    const decisions = decisionLog.createSilentDecisionLog()
    const directLog = connectStore(this.ports.store.connect(host), timers)
    const listPeers = (): string[] => shards.listMembers().filter((member) => !shards.isSelf(member)).map(memberName.parsePeerAddress)
    const { log } = new relayStore.RelayedLog({
      directLog,
      peers: listPeers,
      callPeer: (address, call) => this.call(host, address, timers, relayTimeoutMs, (peer) => shardLog.runStoreCall(peer.directLog, call)),
      timers,
      decisions
    })
    const shards: ownShards.ShardOwner = new ownShards.ShardOwner({ group: 'homes', member: memberName.formatMemberName(`host-${host}`, addressOf(host)), topics: ['keyed.turns-0', 'keyed.turns-1'], partitionsPerTopic, leaseMs: 1_100, heartbeatMs: 300, ownersPollMs: 1_000, handoverTimeoutMs: 900 }, {
      log,
      timers,
      decisions,
      onShardsReleased: () => { for (const address of listPeers()) void this.call(host, address, timers, announceTimeoutMs, async (peer) => { peer.shards.joinNow() }) },
      onHandOver: (partition): Promise<void> => limits.handOver(partition)
    })
    const detector = new peerFailureDetector.PeerFailureDetector({
      peers: listPeers,
      liveness: new peerLiveness.PeerLiveness({ timers, getReportAgeMs: (address, now) => now - (this.heardAt.get(`${host} ${hostOf(address)}`) ?? -Infinity), isMember: (address) => listPeers().includes(address) }),
      ping: async (address) => await this.call(host, address, timers, pingTimeoutMs, async () => true) === true,
      connect: async (address) => this.connect(host, hostOf(address)),
      onPeerSilent: (address) => {
        const member = shards.listMembers().find((name) => memberName.parsePeerAddress(name) === address)
        if (member !== undefined) void shards.evict(member, 'silent')
      },
      onIsolationChanged: (isIsolated) => {
        if (isIsolated) void shards.suspend(600)
        else shards.resume()
      },
      timers,
      decisions
    })
    const limits = new accountLimits.AccountLimits({
      callPeer: async (address, call, timeoutMs) => {
        // Groups without the account only cost time.
        if (call.group !== accountLimits.getGroup(account)) return { type: 'metered', term: 0, hosts: this.hostCount, answers: [] }
        const answer = await this.call(host, address, timers, timeoutMs, (peer) => peer.limits.countReports(call))
        if (answer !== undefined) return answer
        this.suspect(host, address)
        return { type: 'noAnswer', ended: this.hasEnded(host, hostOf(address)) }
      },
      shards,
      log,
      routing: { accounts: identifyClient.createAccountDirectory([{ name: account, keys: ['key'], limit: this.limit }]), version: 1 },
      host: `host-${host}`,
      address: addressOf(host),
      random: this.ports.random,
      peerCount: () => this.countHeard(host),
      slack: testLimits.slack,
      timers,
      decisions
    })
    shards.start()
    return { timers, shards, limits, detector, directLog }
  }

  /** What the routing of turns does with a process that does not answer: an ended one is evicted, a silent one is examined. */
  private suspect (host: number, address: string): void {
    const process = this.processes[host]
    const member = process?.shards.listMembers().find((name) => memberName.parsePeerAddress(name) === address)
    if (process === undefined || member === undefined) return
    if (this.hasEnded(host, hostOf(address))) void process.shards.evict(member, 'ended')
    else process.detector.suspect(address)
  }

  /** Whether the other host refuses the connections of this one. */
  private hasEnded (host: number, other: number): boolean {
    return this.processes[other] === undefined && this.side[host] === this.side[other]
  }

  /** A host accepts connections also while its process stands still. */
  private connect (host: number, other: number): 'accepted' | 'refused' | 'noAnswer' {
    if (this.side[host] !== this.side[other]) return 'noAnswer'
    return this.processes[other] === undefined ? 'refused' : 'accepted'
  }

  /** Calls a process of another host; `undefined` if there is no answer within the timeout, in ms. */
  private async call<Answer> (from: number, address: string, timers: timerService.TimerService, timeoutMs: number, run: (peer: Process) => Promise<Answer>): Promise<Answer | undefined> {
    const to = hostOf(address)
    const answer = this.exchange(from, to, run)
    return timerService.withTimeout(timers, answer, timeoutMs)
  }

  private async exchange<Answer> (from: number, to: number, run: (peer: Process) => Promise<Answer>): Promise<Answer | undefined> {
    await timerService.sleep(this.ports.timers, linkMs)
    if (this.side[from] !== this.side[to]) return this.hang()
    const peer = this.processes[to]
    if (peer === undefined) return undefined
    // A process that stands still answers once it goes on.
    if (peer.timers.isFrozen) await timerService.sleep(peer.timers, 0)
    const answer = await run(peer)
    await timerService.sleep(this.ports.timers, linkMs)
    return this.side[from] === this.side[to] ? answer : this.hang()
  }

  private hang (): Promise<undefined> {
    return new Promise(() => {})
  }

  private shareLoads (): void {
    for (let from = 0; from < this.hostCount; from += 1) {
      if (!this.isServing(from)) continue
      for (let to = 0; to < this.hostCount; to += 1) {
        if (to !== from && this.side[from] === this.side[to]) this.heardAt.set(`${to} ${from}`, this.ports.timers.monotonic())
      }
    }
  }

  private countHeard (host: number): number {
    const since = this.ports.timers.monotonic() - loadReportTtlMs
    return Array.from({ length: this.hostCount }, (_, from) => this.heardAt.get(`${host} ${from}`) ?? -Infinity).filter((at) => at >= since).length
  }
}

/** A process that stands still gets the answers of the store once it goes on. */
function connectStore (log: shardLog.ShardLog, timers: ProcessTimers): shardLog.ShardLog {
  return shardLog.createShardLog(async (call) => {
    const answer = await shardLog.runStoreCall(log, call)
    if (timers.isFrozen || timers.isDead) await timerService.sleep(timers, 0)
    return answer
  })
}

function addressOf (host: number): string {
  return `10.0.0.${host}:7000`
}

function hostOf (address: string): number {
  return Number(address.split(':')[0]!.split('.')[3])
}
