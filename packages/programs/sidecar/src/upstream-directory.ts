/** Lists the upstreams that can take a call, with the load that this process knows of. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as placeCall from '@eelgrasswind/place-call'
import type * as processBase from '@eelgrasswind/process-base'
import type * as programHome from '@eelgrasswind/program-home'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Maximum number of candidates of one placement; if there are more upstreams, a sample is taken. */
const maxCandidates = 16

interface KnownUpstream {
  readonly upstream: types.UpstreamId
  readonly host: types.HostId
  readonly availabilityZone: types.AvailabilityZoneId
  readonly slots: number
}

interface LastLoad {
  readonly reported: placeCall.ReportedLoad
  readonly inFlightAtReport: number
  readonly cacheUtilization: number
}

/** Dependencies of the directory. */
export interface UpstreamDirectoryDeps {
  readonly self: types.HostId
  readonly region: types.RegionId
  readonly directory: Pick<processBase.HostDirectory, 'getVersion' | 'stateOf'>
  readonly config: () => configState.Config
  readonly timers: timerService.TimerService
  readonly random: () => number
}

type TargetName = `model ${types.ModelId}` | `service ${types.ServiceId}`

/** Upstreams of the region by target, with their last reported load and the calls that this process has in flight there. */
export class UpstreamDirectory implements programHome.UpstreamsPort {
  private readonly inFlight = new Map<types.UpstreamId, number>()
  private readonly loads = new Map<types.UpstreamId, LastLoad>()
  private readonly slowDetector = placeCall.createSlowUpstreamDetector()
  private upstreamsByTarget = new Map<TargetName, KnownUpstream[]>()
  private indexedConfig: configState.Config | undefined

  constructor (private readonly deps: UpstreamDirectoryDeps) {}

  listCandidates (target: types.CallTarget, preferred: readonly types.UpstreamId[]): readonly placeCall.Candidate[] {
    const upstreams = this.findServing(formatTargetName(target))
    return this.selectSample(upstreams, preferred).flatMap((upstream) => this.toCandidates(upstream))
  }

  private findServing (name: TargetName): readonly KnownUpstream[] {
    const config = this.deps.config()
    if (config !== this.indexedConfig) this.rebuildIndex(config)
    return this.upstreamsByTarget.get(name) ?? []
  }

  private rebuildIndex (config: configState.Config): void {
    this.indexedConfig = config
    this.upstreamsByTarget = new Map()
    for (const [host, { region, availabilityZone, upstreams }] of config.hosts) {
      if (region !== this.deps.region) continue
      for (const upstream of upstreams) {
        const known = { upstream: upstream.id, host, availabilityZone, slots: upstream.slots }
        for (const name of listTargetNames(upstream)) this.addToIndex(name, known)
      }
    }
  }

  private addToIndex (name: TargetName, known: KnownUpstream): void {
    const targetUpstreams = this.upstreamsByTarget.get(name) ?? []
    targetUpstreams.push(known)
    this.upstreamsByTarget.set(name, targetUpstreams)
  }

  /** Returns all upstreams if they are few; else the preferred ones, those of this host, and random others. */
  private selectSample (known: readonly KnownUpstream[], preferred: readonly types.UpstreamId[]): readonly KnownUpstream[] {
    if (known.length <= maxCandidates) return known
    const chosen = new Set(known.filter((other) => other.host === this.deps.self || preferred.includes(other.upstream)))
    for (let drawCount = 0; chosen.size < maxCandidates && drawCount < 4 * maxCandidates; drawCount += 1) {
      chosen.add(known[Math.floor(this.deps.random() * known.length)]!)
    }
    return [...chosen]
  }

  private toCandidates (known: KnownUpstream): readonly placeCall.Candidate[] {
    const state = this.deps.directory.stateOf(known.host)
    if (state === 'gone') return []
    const lastLoad = this.loads.get(known.upstream)
    return [{
      ...known,
      state,
      inFlight: this.inFlight.get(known.upstream) ?? 0,
      reported: lastLoad?.reported,
      inFlightAtReport: lastLoad?.inFlightAtReport ?? 0,
      cachedTokens: 0,
      slowFactor: this.slowDetector.getSlowFactor(known.upstream, this.deps.timers.monotonic())
    }]
  }

  recordCallStart (upstream: types.UpstreamId): void {
    this.inFlight.set(upstream, (this.inFlight.get(upstream) ?? 0) + 1)
  }

  recordCallEnd (upstream: types.UpstreamId, load: types.UpstreamLoad | null): void {
    const remaining = (this.inFlight.get(upstream) ?? 1) - 1
    if (remaining > 0) this.inFlight.set(upstream, remaining)
    else this.inFlight.delete(upstream)
    // The load was reported while the call that ended still counted as running.
    if (load !== null) this.recordLoad({ ...load, running: Math.max(0, load.running - 1) })
  }

  recordLoad (load: types.UpstreamLoad): void {
    this.loads.set(load.upstream, {
      reported: { running: load.running, waiting: load.waiting, at: this.deps.timers.monotonic() },
      inFlightAtReport: this.inFlight.get(load.upstream) ?? 0,
      cacheUtilization: load.cacheCapacity > 0 ? Math.min(1, load.cacheTokens / load.cacheCapacity) : 0
    })
  }

  recordSpeed (upstream: types.UpstreamId, tokens: number, elapsedMs: number): void {
    this.slowDetector.observe(upstream, tokens, elapsedMs, this.deps.timers.monotonic())
  }

  getCacheUtilization (upstream: types.UpstreamId): number {
    return this.loads.get(upstream)?.cacheUtilization ?? 0
  }
}

function formatTargetName (target: types.CallTarget): TargetName {
  switch (target.type) {
    case 'model': return `model ${target.model}`
    case 'service': return `service ${target.service}`
    default: return errors.assertNever(target)
  }
}

function listTargetNames (upstream: configState.Upstream): readonly TargetName[] {
  switch (upstream.type) {
    case 'engine': return upstream.models.map((model) => `model ${model}` as const)
    case 'service': return [`service ${upstream.service}`]
    default: return errors.assertNever(upstream)
  }
}
