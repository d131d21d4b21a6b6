/** Which upstreams may take a call, and what this process knows of their load. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as placeCall from '@eelgrasswind/place-call'
import type * as processBase from '@eelgrasswind/process-base'
import type * as programHome from '@eelgrasswind/program-home'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Candidates that one placement weighs; a larger fleet is sampled. */
const maxCandidates = 16

interface KnownUpstream {
  readonly upstream: types.UpstreamId
  readonly host: types.HostId
  readonly availabilityZone: types.AvailabilityZoneId
  readonly slots: number
}

interface LoadSeen {
  readonly reported: placeCall.ReportedLoad
  readonly inFlightAtReport: number
  readonly cacheUsed: number
}

export interface UpstreamDirectoryDeps {
  readonly self: types.HostId
  readonly region: types.RegionId
  readonly directory: Pick<processBase.HostDirectory, 'getVersion' | 'stateOf'>
  readonly config: () => configState.Config
  readonly timers: timerService.TimerService
  readonly random: () => number
}

type TargetName = `model ${types.ModelId}` | `service ${types.ServiceId}`

export class UpstreamDirectory implements programHome.UpstreamsPort {
  private readonly inFlight = new Map<types.UpstreamId, number>()
  private readonly loads = new Map<types.UpstreamId, LoadSeen>()
  private readonly slow = placeCall.createSlowUpstreamDetector()
  private byTarget = new Map<TargetName, KnownUpstream[]>()
  private builtFor: configState.Config | undefined

  constructor (private readonly deps: UpstreamDirectoryDeps) {}

  listCandidates (target: types.CallTarget, preferred: readonly types.UpstreamId[]): readonly placeCall.Candidate[] {
    const known = this.serving(nameOf(target))
    return this.sample(known, preferred).flatMap((upstream) => this.candidateOf(upstream))
  }

  private serving (name: TargetName): readonly KnownUpstream[] {
    const config = this.deps.config()
    if (config !== this.builtFor) this.build(config)
    return this.byTarget.get(name) ?? []
  }

  private build (config: configState.Config): void {
    this.builtFor = config
    this.byTarget = new Map()
    for (const [host, { region, availabilityZone, upstreams }] of config.hosts) {
      if (region !== this.deps.region) continue
      for (const upstream of upstreams) {
        const known = { upstream: upstream.id, host, availabilityZone, slots: upstream.slots }
        for (const name of namesOf(upstream)) this.add(name, known)
      }
    }
  }

  private add (name: TargetName, known: KnownUpstream): void {
    const list = this.byTarget.get(name) ?? []
    list.push(known)
    this.byTarget.set(name, list)
  }

  /** All where they are few; else the preferred ones, those of this host, and others drawn at random. */
  private sample (known: readonly KnownUpstream[], preferred: readonly types.UpstreamId[]): readonly KnownUpstream[] {
    if (known.length <= maxCandidates) return known
    const chosen = new Set(known.filter((other) => other.host === this.deps.self || preferred.includes(other.upstream)))
    for (let draws = 0; chosen.size < maxCandidates && draws < 4 * maxCandidates; draws += 1) {
      chosen.add(known[Math.floor(this.deps.random() * known.length)]!)
    }
    return [...chosen]
  }

  private candidateOf (known: KnownUpstream): readonly placeCall.Candidate[] {
    const state = this.deps.directory.stateOf(known.host)
    if (state === 'gone') return []
    const seen = this.loads.get(known.upstream)
    return [{
      ...known,
      state,
      inFlight: this.inFlight.get(known.upstream) ?? 0,
      reported: seen?.reported,
      inFlightAtReport: seen?.inFlightAtReport ?? 0,
      cachedTokens: 0,
      slowFactor: this.slow.getSlowFactor(known.upstream, this.deps.timers.monotonic())
    }]
  }

  recordCallStart (upstream: types.UpstreamId): void {
    this.inFlight.set(upstream, (this.inFlight.get(upstream) ?? 0) + 1)
  }

  recordCallEnd (upstream: types.UpstreamId, load: types.UpstreamLoad | null): void {
    const left = (this.inFlight.get(upstream) ?? 1) - 1
    if (left > 0) this.inFlight.set(upstream, left)
    else this.inFlight.delete(upstream)
    // The report was made while the call that brought it still counted as running.
    if (load !== null) this.noteLoad({ ...load, running: Math.max(0, load.running - 1) })
  }

  noteLoad (load: types.UpstreamLoad): void {
    this.loads.set(load.upstream, {
      reported: { running: load.running, waiting: load.waiting, at: this.deps.timers.monotonic() },
      inFlightAtReport: this.inFlight.get(load.upstream) ?? 0,
      cacheUsed: load.cacheCapacity > 0 ? Math.min(1, load.cacheTokens / load.cacheCapacity) : 0
    })
  }

  recordSpeed (upstream: types.UpstreamId, tokens: number, elapsedMs: number): void {
    this.slow.observe(upstream, tokens, elapsedMs, this.deps.timers.monotonic())
  }

  cacheUsed (upstream: types.UpstreamId): number {
    return this.loads.get(upstream)?.cacheUsed ?? 0
  }
}

function nameOf (target: types.CallTarget): TargetName {
  switch (target.type) {
    case 'model': return `model ${target.model}`
    case 'service': return `service ${target.service}`
    default: return errors.assertNever(target)
  }
}

function namesOf (upstream: configState.Upstream): readonly TargetName[] {
  switch (upstream.type) {
    case 'engine': return upstream.models.map((model) => `model ${model}` as const)
    case 'service': return [`service ${upstream.service}`]
    default: return errors.assertNever(upstream)
  }
}
