/** Dispatches calls to the upstreams of this host; nothing else talks to them. */
import * as errors from '@eelgrasswind/errors'
import type * as logger from '@eelgrasswind/logger'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import * as turns from './await-turn.js'
import * as dispatchRecords from './dispatch-records.js'
import * as doorOf from './door.js'
import type * as prefixHolds from './prefix-holds.js'
import * as sending from './send-dispatch.js'

export interface UpstreamGuardSettings {
  readonly self: types.ProcessRef
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly orderRule: orderQueue.OrderRule
  readonly tracer: tracing.Tracing
}

/** How often an engine is asked for its load, in milliseconds. */
const loadPeriodMs = 1_000
/** How often old dispatch records are dropped, in milliseconds. */
const forgetPeriodMs = 60_000
const unavailableRetryMs = 1_000

type Result = dispatchRecords.DispatchResult
type OnDelta = (text: string) => void

export class UpstreamGuard {
  private readonly doors = new Map<types.UpstreamId, doorOf.Door>()
  private readonly records: dispatchRecords.DispatchRecords
  private readonly subscriptions: readonly timerService.Subscription[]
  private orderRule: orderQueue.OrderRule

  constructor (private readonly settings: UpstreamGuardSettings) {
    const { self, timers } = settings
    this.orderRule = settings.orderRule
    this.records = dispatchRecords.createDispatchRecords(self.incarnation, timers.now)
    this.subscriptions = [
      timers.every(loadPeriodMs, () => { void this.askLoads() }),
      timers.every(forgetPeriodMs, () => this.records.forgetOld())
    ]
  }

  /** Adds, resizes and removes upstreams; one that goes ends its running calls first. */
  setUpstreams (upstreams: readonly doorOf.GuardedUpstream[]): void {
    const wanted = new Map(upstreams.map((target) => [target.upstream, target]))
    for (const [id, door] of this.doors) {
      if (!wanted.has(id)) this.closeDoor(id, door)
    }
    for (const [id, target] of wanted) this.setUpstream(id, target)
  }

  /** Orders the queues by another rule, those that wait included. */
  setOrderRule (rule: orderQueue.OrderRule): void {
    if (rule.type === this.orderRule.type) return
    this.orderRule = rule
    for (const door of this.doors.values()) door.slots.setRule(rule)
  }

  private setUpstream (id: types.UpstreamId, target: doorOf.GuardedUpstream): void {
    const door = this.doors.get(id)
    if (door !== undefined && door.target.client === target.client) return door.slots.resize(target.slots)
    if (door !== undefined) this.closeDoor(id, door)
    const { timers, logger } = this.settings
    this.doors.set(id, doorOf.openDoor(target, this.orderRule, timers, (upstream, released) => logger.warn({ upstream, released }, 'released sessions that nobody holds')))
  }

  private closeDoor (id: types.UpstreamId, door: doorOf.Door): void {
    door.holds?.close()
    this.doors.delete(id)
  }

  async dispatch (req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: OnDelta): Promise<Result> {
    const door = this.doors.get(req.upstream)
    if (door === undefined) return errors.fail(this.unknownUpstream(req.upstream))
    if (req.intent === null) return await this.run(door, req, ctx, signal, signal, onDelta, () => undefined)
    return await this.dispatchOnce(door, req, req.intent, ctx, onDelta)
  }

  /** A call that must not be repeated: its sender going away does not end it, only a seal before its turn does. */
  private async dispatchOnce (door: doorOf.Door, req: types.Dispatch, intent: types.DispatchIntent, ctx: types.RequestContext, onDelta: OnDelta): Promise<Result> {
    const permission = this.records.permit(req, intent)
    switch (permission.type) {
      case 'refuse': return errors.fail(permission.failure)
      case 'join': return await permission.done
      case 'run': return await this.runRecorded(door, req, intent, ctx, onDelta)
      default: return errors.assertNever(permission)
    }
  }

  private async runRecorded (door: doorOf.Door, req: types.Dispatch, intent: types.DispatchIntent, ctx: types.RequestContext, onDelta: OnDelta): Promise<Result> {
    const sealing = new AbortController()
    const never = new AbortController().signal
    let settle: (result: Result) => void = () => undefined
    const done = new Promise<Result>((resolve) => { settle = resolve })
    this.records.noteWaiting(req, intent, () => sealing.abort(), done)
    const result = await this.run(door, req, ctx, sealing.signal, never, onDelta, () => this.records.noteRunning(req))
    this.records.noteEnded(req, result)
    settle(result)
    return result
  }

  private async run (door: doorOf.Door, req: types.Dispatch, ctx: types.RequestContext, queueSignal: AbortSignal, signal: AbortSignal, onDelta: OnDelta, onStart: () => void): Promise<Result> {
    const { tracer, timers } = this.settings
    const waiting = tracer.startSpan('sidecar dispatch', ctx.traceparent, { program: req.program, upstream: req.upstream })
    const turn = await turns.awaitTurn(door.slots, req, queueSignal, timers, onStart)
    if (!turn.ok) {
      waiting.end('error')
      return turn
    }
    const sent = tracer.startSpan('upstream', waiting.traceparent, { program: req.program, upstream: req.upstream })
    const result = await sending.sendDispatch(door, req, { signal, traceparent: sent.traceparent, onDelta }, timers)
    door.slots.leave()
    const status = result.ok ? 'ok' : 'error'
    sent.end(status)
    waiting.end(status)
    return result
  }

  async seal (wanted: types.Seal): Promise<errors.Result<types.SealState>> {
    return errors.ok(this.records.seal(wanted))
  }

  async hold (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number): Promise<errors.Result<void>> {
    return await this.withHolds(upstream, (holds) => holds.hold(program, term, holdMs))
  }

  async drop (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId): Promise<errors.Result<void>> {
    return await this.withHolds(upstream, (holds) => holds.drop(program, term))
  }

  private async withHolds (upstream: types.UpstreamId, use: (holds: prefixHolds.PrefixHolds) => Promise<errors.Result<void>>): Promise<errors.Result<void>> {
    const holds = this.doors.get(upstream)?.holds ?? null
    return holds === null ? errors.fail(this.unknownUpstream(upstream)) : await use(holds)
  }

  private unknownUpstream (upstream: types.UpstreamId): errors.Failure {
    const message = `${upstream} is not an upstream of ${this.settings.self.host}`
    return { tag: 'upstreamUnavailable', verdict: 'notRun', message, retryAfterMs: unavailableRetryMs }
  }

  private async askLoads (): Promise<void> {
    await Promise.all([...this.doors.values()].map(doorOf.askLoad))
  }

  status (): readonly types.UpstreamStatus[] {
    return [...this.doors.values()].map(doorOf.statusOf)
  }

  loads (): readonly types.UpstreamLoad[] {
    const now = this.settings.timers.now()
    return [...this.doors.values()].map((door) => doorOf.loadOf(door, now))
  }

  callsInFlight (): number {
    let calls = 0
    for (const door of this.doors.values()) calls += door.slots.running + door.slots.waiting
    return calls
  }

  close (): void {
    for (const subscription of this.subscriptions) subscription.cancel()
    for (const door of this.doors.values()) door.holds?.close()
  }
}
