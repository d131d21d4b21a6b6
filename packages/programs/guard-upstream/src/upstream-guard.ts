/** Dispatches calls to the upstreams of this host; all requests to them go through it. */
import * as errors from '@eelgrasswind/errors'
import type * as logger from '@eelgrasswind/logger'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import * as slotWaiting from './wait-for-slot.js'
import * as dispatchRecords from './dispatch-records.js'
import * as upstreamStates from './upstream-state.js'
import type * as prefixHolds from './prefix-holds.js'
import * as dispatchSending from './send-dispatch.js'

/** Dependencies of the guard. */
export interface UpstreamGuardSettings {
  readonly self: types.ProcessRef
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly orderRule: orderQueue.OrderRule
  readonly tracer: tracing.Tracing
}

/** Poll interval of the load of engines, in milliseconds. */
const loadPollIntervalMs = 1_000
/** Interval at which expired dispatch records are deleted, in milliseconds. */
const expiryIntervalMs = 60_000
/** Retry-after time for an unknown upstream, in milliseconds. */
const unavailableRetryMs = 1_000

type DispatchResult = dispatchRecords.DispatchResult
type OnDelta = (text: string) => void

/** The upstreams of this host with their queues, dispatch records and prefix holds. */
export class UpstreamGuard {
  private readonly upstreams = new Map<types.UpstreamId, upstreamStates.UpstreamState>()
  private readonly records: dispatchRecords.DispatchRecords
  private readonly subscriptions: readonly timerService.Subscription[]
  private orderRule: orderQueue.OrderRule

  constructor (private readonly settings: UpstreamGuardSettings) {
    const { self, timers } = settings
    this.orderRule = settings.orderRule
    this.records = dispatchRecords.createDispatchRecords(self.incarnation, timers.now)
    this.subscriptions = [
      timers.every(loadPollIntervalMs, () => { void this.refreshLoads() }),
      timers.every(expiryIntervalMs, () => this.records.deleteExpired())
    ]
  }

  /** Adds, resizes and removes upstreams; running calls of a removed upstream still complete. */
  setUpstreams (upstreams: readonly upstreamStates.GuardedUpstream[]): void {
    const targets = new Map(upstreams.map((target) => [target.upstream, target]))
    for (const [id, state] of this.upstreams) {
      if (!targets.has(id)) this.removeUpstream(id, state)
    }
    for (const [id, target] of targets) this.setUpstream(id, target)
  }

  /** Orders the queues by another rule, including the calls that are queued already. */
  setOrderRule (rule: orderQueue.OrderRule): void {
    if (rule.type === this.orderRule.type) return
    this.orderRule = rule
    for (const state of this.upstreams.values()) state.slots.setRule(rule)
  }

  private setUpstream (id: types.UpstreamId, target: upstreamStates.GuardedUpstream): void {
    const state = this.upstreams.get(id)
    if (state !== undefined && state.target.client === target.client) return state.slots.resize(target.slots)
    if (state !== undefined) this.removeUpstream(id, state)
    const { timers, logger } = this.settings
    this.upstreams.set(id, upstreamStates.createUpstreamState(target, this.orderRule, timers, (upstream, released) => logger.warn({ upstream, released }, 'released pinned sessions that have no lease')))
  }

  private removeUpstream (id: types.UpstreamId, state: upstreamStates.UpstreamState): void {
    state.holds?.close()
    this.upstreams.delete(id)
  }

  /** Runs a call on an upstream once it has a slot. The signal aborts an idempotent call only. */
  async dispatch (req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: OnDelta): Promise<DispatchResult> {
    const state = this.upstreams.get(req.upstream)
    if (state === undefined) return errors.fail(this.createUnknownUpstreamFailure(req.upstream))
    if (req.intent === null) return await this.runInSlot(state, req, ctx, signal, signal, onDelta, () => undefined)
    return await this.dispatchOnce(state, req, req.intent, ctx, onDelta)
  }

  /** Dispatches a call that must not run twice. It continues if its sender disconnects; only a seal cancels it, while it is queued. */
  private async dispatchOnce (state: upstreamStates.UpstreamState, req: types.Dispatch, intent: types.DispatchIntent, ctx: types.RequestContext, onDelta: OnDelta): Promise<DispatchResult> {
    const permission = this.records.permit(req, intent)
    switch (permission.type) {
      case 'refuse': return errors.fail(permission.failure)
      case 'join': return await permission.done
      case 'run': return await this.runRecorded(state, req, intent, ctx, onDelta)
      default: return errors.assertNever(permission)
    }
  }

  private async runRecorded (state: upstreamStates.UpstreamState, req: types.Dispatch, intent: types.DispatchIntent, ctx: types.RequestContext, onDelta: OnDelta): Promise<DispatchResult> {
    const sealController = new AbortController()
    const neverAborted = new AbortController().signal
    let resolveDone: (result: DispatchResult) => void = () => undefined
    const done = new Promise<DispatchResult>((resolve) => { resolveDone = resolve })
    this.records.recordWaiting(req, intent, () => sealController.abort(), done)
    const result = await this.runInSlot(state, req, ctx, sealController.signal, neverAborted, onDelta, () => this.records.recordRunning(req))
    this.records.recordEnded(req, result)
    resolveDone(result)
    return result
  }

  private async runInSlot (state: upstreamStates.UpstreamState, req: types.Dispatch, ctx: types.RequestContext, queueSignal: AbortSignal, signal: AbortSignal, onDelta: OnDelta, onStart: () => void): Promise<DispatchResult> {
    const { tracer, timers } = this.settings
    const dispatchSpan = tracer.startSpan('sidecar dispatch', ctx.traceparent, { program: req.program, upstream: req.upstream })
    const slot = await slotWaiting.waitForSlot(state.slots, req, queueSignal, timers, onStart)
    if (!slot.ok) {
      dispatchSpan.end('error')
      return slot
    }
    const upstreamSpan = tracer.startSpan('upstream', dispatchSpan.traceparent, { program: req.program, upstream: req.upstream })
    const result = await dispatchSending.sendDispatch(state, req, { signal, traceparent: upstreamSpan.traceparent, onDelta }, timers)
    state.slots.release()
    const status = result.ok ? 'ok' : 'error'
    upstreamSpan.end(status)
    dispatchSpan.end(status)
    return result
  }

  /** Seals the key of a non-idempotent call; see `DispatchRecords`. */
  async seal (req: types.Seal): Promise<errors.Result<types.SealState>> {
    return errors.ok(this.records.seal(req))
  }

  /** Pins the prefix of a program in the cache of an engine. */
  async hold (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number): Promise<errors.Result<void>> {
    return await this.withHolds(upstream, (holds) => holds.hold(program, term, holdMs))
  }

  /** Releases the prefix of a program. */
  async drop (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId): Promise<errors.Result<void>> {
    return await this.withHolds(upstream, (holds) => holds.drop(program, term))
  }

  private async withHolds (upstream: types.UpstreamId, use: (holds: prefixHolds.PrefixHolds) => Promise<errors.Result<void>>): Promise<errors.Result<void>> {
    const holds = this.upstreams.get(upstream)?.holds ?? null
    return holds === null ? errors.fail(this.createUnknownUpstreamFailure(upstream)) : await use(holds)
  }

  private createUnknownUpstreamFailure (upstream: types.UpstreamId): errors.Failure {
    const message = `${upstream} is not an upstream of ${this.settings.self.host}`
    return { tag: 'upstreamUnavailable', verdict: 'notRun', message, retryAfterMs: unavailableRetryMs }
  }

  private async refreshLoads (): Promise<void> {
    await Promise.all([...this.upstreams.values()].map(upstreamStates.refreshLoad))
  }

  getStatus (): readonly types.UpstreamStatus[] {
    return [...this.upstreams.values()].map(upstreamStates.toUpstreamStatus)
  }

  getLoads (): readonly types.UpstreamLoad[] {
    const now = this.settings.timers.now()
    return [...this.upstreams.values()].map((state) => upstreamStates.toUpstreamLoad(state, now))
  }

  /** Returns the number of running and queued calls. */
  countCallsInFlight (): number {
    let calls = 0
    for (const state of this.upstreams.values()) calls += state.slots.running + state.slots.waiting
    return calls
  }

  /** Stops the timers and the leases; calls in flight continue. */
  close (): void {
    for (const subscription of this.subscriptions) subscription.cancel()
    for (const state of this.upstreams.values()) state.holds?.close()
  }
}
