/** Directory of the system's processes: their states, connections to them, and the home of each program. */
import type * as chooseHome from '@eelgrasswind/choose-home'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as hostListClient from '@eelgrasswind/host-list-client'
import type * as logger from '@eelgrasswind/logger'
import * as membership from '@eelgrasswind/membership'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Settings of the host directory. */
export interface HostDirectorySettings {
  readonly self: types.HostId
  readonly region: types.RegionId
  readonly hostListPollMs: number
  readonly peers: { readonly timeoutMs: number, readonly pingIntervalMs: number, readonly pingTimeoutMs: number }
}

/** Dependencies of the host directory. `config` returns undefined until the first configuration is loaded. */
export interface HostDirectoryDeps {
  readonly settings: HostDirectorySettings
  readonly hostList: hostListClient.HostListClient
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly homeChooser: chooseHome.HomeChooser
  readonly config: () => configState.Config | undefined
}

/** Retry-after time of requests to a host that is not in the host list. */
const unknownHostRetryMs = 500
/** Most hosts listed in one log line. */
const maxLoggedHosts = 20

/** Polls the host list, probes suspect hosts, and pools the connections to peers. */
export class HostDirectory {
  private readonly membershipTable: membership.Membership
  private readonly pool: sidecarClient.PeerPool
  private readonly subscriptions: readonly timerService.Subscription[]
  private homeSelector: membership.HostSelector = () => []
  private homeSelectorConfig: configState.Config | undefined
  private members = new Map<types.HostId, membership.MemberHost>()
  private membersVersion = -1
  private readonly loggedStates = new Map<types.HostId, membership.HostState>()
  private loggedVersion = -1

  constructor (private readonly deps: HostDirectoryDeps) {
    const { settings, timers } = deps
    const membershipSettings = membership.defaultMembershipSettings
    this.membershipTable = membership.createMembership({ settings: membershipSettings, self: settings.self, now: timers.monotonic() })
    this.pool = sidecarClient.createPeerPool({
      ...settings.peers,
      onSenderReceived: (sender) => this.recordSender(sender),
      onUnavailable: (host) => this.membershipTable.noteFailure(host, timers.monotonic())
    })
    this.subscriptions = [
      timers.every(settings.hostListPollMs, () => { void this.readHostList() }),
      timers.every(membershipSettings.batchMs, () => this.tick())
    ]
  }

  /** Reads the host list now. If that fails, the known hosts stay and the result is false. */
  async readHostList (): Promise<boolean> {
    const list = await this.deps.hostList.read()
    if (!list.ok) {
      this.deps.logger.warn({ failure: list.failure }, 'could not read the host list')
      return false
    }
    this.membershipTable.applyHostList(list.value, this.deps.timers.monotonic())
    return true
  }

  /** Applies pending host states now instead of at the next batch, for the start of a process. */
  refresh (): void {
    this.membershipTable.tick(this.deps.timers.monotonic())
    this.logChanges()
  }

  private tick (): void {
    const { timers } = this.deps
    if (this.membershipTable.tick(timers.monotonic())) this.pool.retain(new Set(this.getMembers().keys()))
    this.logChanges()
    for (const host of this.membershipTable.takeProbes(timers.monotonic())) void this.getPeerClient(host)?.getStatus()
  }

  /** Logs the hosts whose state has changed since the last log line. */
  private logChanges (): void {
    const { version, hosts } = this.membershipTable.getView()
    if (version === this.loggedVersion) return
    this.loggedVersion = version
    const changed = hosts.flatMap(({ entry, state }) => this.loggedStates.get(entry.host) === state ? [] : [{ host: entry.host, state, address: entry.address }])
    this.loggedStates.clear()
    for (const { entry, state } of hosts) this.loggedStates.set(entry.host, state)
    if (changed.length > 0) this.deps.logger.info({ version, count: changed.length, changed: changed.slice(0, maxLoggedHosts) }, 'hosts changed')
  }

  private recordSender (sender: types.Sender): void {
    const now = this.deps.timers.monotonic()
    this.membershipTable.noteAnswer(sender.host, sender.incarnation, sender.leaving, now)
  }

  private getMembers (): ReadonlyMap<types.HostId, membership.MemberHost> {
    const view = this.membershipTable.getView()
    if (view.version !== this.membersVersion) {
      this.members = new Map(view.hosts.map((member) => [member.entry.host, member]))
      this.membersVersion = view.version
    }
    return this.members
  }

  /** Version of the hosts' states; increases by one with every change. */
  getVersion (): number {
    return this.membershipTable.getView().version
  }

  /** Hosts of the current membership view, with their states. */
  listHosts (): Iterable<membership.MemberHost> {
    return this.getMembers().values()
  }

  /** State of a host as seen by this process; `gone` for an unknown host. */
  stateOf (host: types.HostId): membership.HostState {
    // A process never suspects itself: only the host list can mark its own host as leaving.
    if (host === this.deps.settings.self) return this.getMembers().get(host)?.state === 'leaving' ? 'leaving' : 'live'
    return this.getMembers().get(host)?.state ?? 'gone'
  }

  /** Incarnation from the host's latest answer; undefined before the first answer. */
  getIncarnation (host: types.HostId): types.Incarnation | undefined {
    return this.getMembers().get(host)?.incarnation
  }

  /** Returns a client of a host's process; undefined for an unknown host. */
  getPeerClient (host: types.HostId): sidecarClient.PeerClient | undefined {
    const member = this.getMembers().get(host)
    return member === undefined ? undefined : this.pool.get(host, member.entry.address)
  }

  /** Sends a request to a host. For an unknown host it fails with verdict notRun. */
  async callPeer<T> (host: types.HostId, send: (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    const peer = this.getPeerClient(host)
    if (peer === undefined) return errors.fail({ tag: 'peerUnavailable', verdict: 'notRun', message: `host ${host} is unknown`, retryAfterMs: unknownHostRetryMs })
    return await send(peer)
  }

  /** Returns the home of a program, followed by the hosts that take over from it, in order. */
  rankHomes (program: types.ProgramId): readonly types.HostId[] {
    return this.deps.homeChooser.rankHomes(program, this.listHomeHosts())
  }

  /** Returns the host whose process owns a shared task; undefined if no host is known. */
  findOwner (task: chooseHome.OwnedTask): types.HostId | undefined {
    return this.deps.homeChooser.findOwner(task, this.listHomeHosts())
  }

  /** Live sidecars in this region with a model engine on their host: the candidates for homes and owners. */
  private listHomeHosts (): readonly types.HostId[] {
    const config = this.deps.config()
    if (config === undefined) return []
    if (config !== this.homeSelectorConfig) {
      this.homeSelectorConfig = config
      this.homeSelector = membership.createHostSelector((entry) => this.canBeHome(config, entry))
    }
    return this.homeSelector(this.membershipTable.getView())
  }

  private canBeHome (config: configState.Config, entry: types.HostEntry): boolean {
    if (entry.role !== 'sidecar' || entry.region !== this.deps.settings.region) return false
    return config.hosts.get(entry.host)?.upstreams.some((upstream) => upstream.type === 'engine') === true
  }

  close (): void {
    for (const subscription of this.subscriptions) subscription.cancel()
    this.pool.close()
  }
}
