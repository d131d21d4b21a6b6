/** The other processes of the system: which are live, how to reach them, and which is the home of a program. */
import type * as chooseHome from '@eelgrasswind/choose-home'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as hostListClient from '@eelgrasswind/host-list-client'
import type * as logger from '@eelgrasswind/logger'
import * as membership from '@eelgrasswind/membership'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

export interface HostDirectorySettings {
  readonly self: types.HostId
  readonly region: types.RegionId
  readonly hostListPollMs: number
  readonly peers: { readonly timeoutMs: number, readonly pingIntervalMs: number, readonly pingTimeoutMs: number }
}

export interface HostDirectoryDeps {
  readonly settings: HostDirectorySettings
  readonly hostList: hostListClient.HostListClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly homes: chooseHome.HomeChooser
  readonly config: () => configState.Config | undefined
}

const unknownHostRetryMs = 500
/** Hosts that one log line names. */
const mostNamed = 20

export class HostDirectory {
  private readonly table: membership.Membership
  private readonly pool: sidecarClient.PeerPool
  private readonly subscriptions: readonly timerService.Subscription[]
  private homeSelector: membership.HostSelector = () => []
  private homeSelectorConfig: configState.Config | undefined
  private members = new Map<types.HostId, membership.MemberHost>()
  private membersVersion = -1
  private readonly noted = new Map<types.HostId, membership.HostState>()
  private notedVersion = -1

  constructor (private readonly deps: HostDirectoryDeps) {
    const { settings, timers } = deps
    const membershipSettings = membership.defaultMembershipSettings
    this.table = membership.createMembership({ settings: membershipSettings, self: settings.self, now: timers.monotonic() })
    this.pool = sidecarClient.createPeerPool({
      ...settings.peers,
      onSenderReceived: (sender) => this.noteSender(sender),
      onUnavailable: (host) => this.table.noteFailure(host, timers.monotonic())
    })
    this.subscriptions = [
      timers.every(settings.hostListPollMs, () => { void this.readHostList() }),
      timers.every(membershipSettings.batchMs, () => this.tick())
    ]
  }

  /** Reads the host list now; a failure keeps what is known. */
  async readHostList (): Promise<boolean> {
    const list = await this.deps.hostList.read()
    if (!list.ok) {
      this.deps.logger.warn({ failure: list.failure }, 'host list not read')
      return false
    }
    this.table.applyHostList(list.value, this.deps.timers.monotonic())
    return true
  }

  /** Puts what is known into force now, as at the start of a process. */
  settle (): void {
    this.table.tick(this.deps.timers.monotonic())
    this.noteChanges()
  }

  private tick (): void {
    const { timers } = this.deps
    if (this.table.tick(timers.monotonic())) this.pool.retain(new Set(this.memberMap().keys()))
    this.noteChanges()
    for (const host of this.table.takeProbes(timers.monotonic())) void this.peer(host)?.getStatus()
  }

  /** Logs the hosts whose state differs from what was logged last. */
  private noteChanges (): void {
    const { version, hosts } = this.table.getView()
    if (version === this.notedVersion) return
    this.notedVersion = version
    const changed = hosts.flatMap(({ entry, state }) => this.noted.get(entry.host) === state ? [] : [{ host: entry.host, state, address: entry.address }])
    this.noted.clear()
    for (const { entry, state } of hosts) this.noted.set(entry.host, state)
    if (changed.length > 0) this.deps.logger.info({ version, count: changed.length, changed: changed.slice(0, mostNamed) }, 'hosts changed')
  }

  private noteSender (sender: types.Sender): void {
    const now = this.deps.timers.monotonic()
    this.table.noteAnswer(sender.host, sender.incarnation, sender.leaving, now)
  }

  private memberMap (): ReadonlyMap<types.HostId, membership.MemberHost> {
    const view = this.table.getView()
    if (view.version !== this.membersVersion) {
      this.members = new Map(view.hosts.map((member) => [member.entry.host, member]))
      this.membersVersion = view.version
    }
    return this.members
  }

  /** Grows by one with every change of the hosts' states. */
  getVersion (): number {
    return this.table.getView().version
  }

  listHosts (): Iterable<membership.MemberHost> {
    return this.memberMap().values()
  }

  stateOf (host: types.HostId): membership.HostState {
    // A process never doubts itself, but it may be told by the list alone that its host is to be emptied.
    if (host === this.deps.settings.self) return this.memberMap().get(host)?.state === 'leaving' ? 'leaving' : 'live'
    return this.memberMap().get(host)?.state ?? 'gone'
  }

  getIncarnation (host: types.HostId): types.Incarnation | undefined {
    return this.memberMap().get(host)?.incarnation
  }

  /** A client of a host's process; undefined for one that is not known. */
  peer (host: types.HostId): sidecarClient.PeerClient | undefined {
    const member = this.memberMap().get(host)
    return member === undefined ? undefined : this.pool.get(host, member.entry.address)
  }

  /** Asks a host; one that is not known gives a failure that is notRun. */
  async callPeer<T> (host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    const peer = this.peer(host)
    if (peer === undefined) return errors.fail({ tag: 'peerUnavailable', verdict: 'notRun', message: `host ${host} is not known`, retryAfterMs: unknownHostRetryMs })
    return await send(peer)
  }

  /** The home of a program and the hosts that would be home after it. */
  rankHomes (program: types.ProgramId): readonly types.HostId[] {
    return this.deps.homes.rankHomes(program, this.homeHosts())
  }

  /** The process that does a task for many; undefined while none is known. */
  findOwner (task: chooseHome.OwnedTask): types.HostId | undefined {
    return this.deps.homes.findOwner(task, this.homeHosts())
  }

  /** Live sidecars beside model engines of this region. */
  private homeHosts (): readonly types.HostId[] {
    const config = this.deps.config()
    if (config === undefined) return []
    if (config !== this.homeSelectorConfig) {
      this.homeSelectorConfig = config
      this.homeSelector = membership.createHostSelector((entry) => this.mayBeHome(config, entry))
    }
    return this.homeSelector(this.table.getView())
  }

  private mayBeHome (config: configState.Config, entry: types.HostEntry): boolean {
    if (entry.role !== 'sidecar' || entry.region !== this.deps.settings.region) return false
    return config.hosts.get(entry.host)?.upstreams.some((upstream) => upstream.type === 'engine') === true
  }

  close (): void {
    for (const subscription of this.subscriptions) subscription.cancel()
    this.pool.close()
  }
}
