/** Dispatches calls to the upstreams of this host; nothing else talks to them. */
import type * as engineClient from '@eelgrasswind/engine-client'
import * as errors from '@eelgrasswind/errors'
import type * as logger from '@eelgrasswind/logger'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as serviceClient from '@eelgrasswind/service-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as dispatchRecords from './dispatch-records.js'
import * as prefixHolds from './prefix-holds.js'
import * as upstreamSlots from './upstream-slots.js'

/** An upstream beside this process and its client. */
export type GuardedUpstream =
  | { readonly type: 'engine', readonly upstream: types.UpstreamId, readonly slots: number, readonly client: engineClient.EngineClient }
  | { readonly type: 'service', readonly upstream: types.UpstreamId, readonly slots: number, readonly client: serviceClient.ServiceClient }

export interface UpstreamGuardSettings {
  readonly self: types.ProcessRef
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  readonly orderRule: orderQueue.OrderRule
}

export interface UpstreamGuard {
  /** Adds, resizes and removes upstreams; one that goes ends its running calls first. */
  setUpstreams: (upstreams: readonly GuardedUpstream[]) => void
  dispatch: (dispatch: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void) => Promise<errors.Result<types.DispatchAnswer>>
  seal: (seal: types.Seal) => Promise<errors.Result<types.SealState>>
  hold: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId, holdMs: number) => Promise<errors.Result<void>>
  drop: (program: types.ProgramId, term: types.Term, upstream: types.UpstreamId) => Promise<errors.Result<void>>
  status: () => readonly types.UpstreamStatus[]
  loads: () => readonly types.UpstreamLoad[]
  callsInFlight: () => number
  close: () => void
}

interface Door {
  readonly target: GuardedUpstream
  readonly slots: upstreamSlots.UpstreamSlots
  readonly holds: prefixHolds.PrefixHolds | null
  /** What the engine last said of itself; late. */
  reported: types.UpstreamLoad | null
}

/** How often an engine is asked for its load, in milliseconds. */
const loadPeriodMs = 1_000
/** How often old dispatch records are dropped, in milliseconds. */
const forgetPeriodMs = 60_000
const unavailableRetryMs = 1_000

type Result = dispatchRecords.DispatchResult

export function createUpstreamGuard (settings: UpstreamGuardSettings): UpstreamGuard {
  const { self, timers, logger: log } = settings
  const doors = new Map<types.UpstreamId, Door>()
  const records = dispatchRecords.createDispatchRecords(self.incarnation, timers.now)
  const subscriptions = [
    timers.every(loadPeriodMs, () => { void askLoads() }),
    timers.every(forgetPeriodMs, () => records.forgetOld())
  ]

  function openDoor (target: GuardedUpstream): Door {
    const holds = target.type === 'engine'
      ? prefixHolds.createPrefixHolds({ engine: target.client, timers, onSwept: (released) => log.warn({ upstream: target.upstream, released }, 'released sessions that nobody holds') })
      : null
    return { target, slots: upstreamSlots.createUpstreamSlots(target.slots, settings.orderRule, timers.now), holds, reported: null }
  }

  function setUpstreams (upstreams: readonly GuardedUpstream[]): void {
    const wanted = new Map(upstreams.map((target) => [target.upstream, target]))
    for (const [id, door] of doors) {
      if (wanted.has(id)) continue
      door.holds?.close()
      doors.delete(id)
    }
    for (const [id, target] of wanted) {
      const door = doors.get(id)
      if (door === undefined) doors.set(id, openDoor(target))
      else door.slots.resize(target.slots)
    }
  }

  async function askLoads (): Promise<void> {
    await Promise.all([...doors.values()].map(askLoad))
  }

  async function askLoad (door: Door): Promise<void> {
    if (door.target.type !== 'engine') return
    const load = await door.target.client.load()
    if (load.ok) door.reported = load.value
  }

  function loadOf (door: Door): types.UpstreamLoad {
    return {
      upstream: door.target.upstream,
      running: door.slots.running,
      waiting: door.slots.waiting,
      cacheTokens: door.reported?.cacheTokens ?? 0,
      cacheCapacity: door.reported?.cacheCapacity ?? 0,
      at: timers.now() as types.EpochMs
    }
  }

  function unknownUpstream (upstream: types.UpstreamId): errors.Failure {
    return { tag: 'upstreamUnavailable', verdict: 'notRun', message: `${upstream} is not an upstream of ${self.host}`, retryAfterMs: unavailableRetryMs }
  }

  async function dispatch (req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void): Promise<Result> {
    const door = doors.get(req.upstream)
    if (door === undefined) return errors.fail(unknownUpstream(req.upstream))
    if (req.intent === null) return await runWhenTurn(door, req, ctx, signal, onDelta, () => undefined)
    return await dispatchOnce(door, req, req.intent, ctx, onDelta)
  }

  /** A call that must not be repeated: its sender going away does not end it, only a seal before its turn does. */
  async function dispatchOnce (door: Door, req: types.Dispatch, intent: types.DispatchIntent, ctx: types.RequestContext, onDelta: (text: string) => void): Promise<Result> {
    const permission = records.permit(req, intent)
    switch (permission.type) {
      case 'refuse': return errors.fail(permission.failure)
      case 'join': return await permission.done
      case 'run': break
      default: return errors.unreachable(permission)
    }
    const sealing = new AbortController()
    let settle: (result: Result) => void = () => undefined
    const done = new Promise<Result>((resolve) => { settle = resolve })
    records.noteWaiting(req, intent, () => sealing.abort(), done)
    const result = await runWhenTurn(door, req, ctx, sealing.signal, onDelta, () => records.noteRunning(req))
    records.noteEnded(req, result)
    settle(result)
    return result
  }

  function runWhenTurn (door: Door, req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void, onStart: () => void): Promise<Result> {
    return new Promise((resolve) => {
      const expiry = timers.after(req.timeoutMs, () => leaveQueue(notRunTimeout(req)))
      const waiting = door.slots.enter(req.program, req.queue, start)
      signal.addEventListener('abort', onAbort, { once: true })

      function leaveQueue (failure: errors.Failure): void {
        if (!waiting.cancel()) return
        stopWaiting()
        resolve(errors.fail(failure))
      }

      function onAbort (): void {
        leaveQueue({ tag: 'cancelled', verdict: 'notRun', message: 'given up before its turn' })
      }

      function stopWaiting (): void {
        expiry.cancel()
        signal.removeEventListener('abort', onAbort)
      }

      function start (): void {
        stopWaiting()
        onStart()
        void run(door, req, ctx, signal, onDelta).then((result) => {
          door.slots.leave()
          resolve(result)
        })
      }
    })
  }

  function notRunTimeout (req: types.Dispatch): errors.Failure {
    return { tag: 'timeout', verdict: 'notRun', message: 'its turn did not come in time', afterMs: req.timeoutMs }
  }

  async function run (door: Door, req: types.Dispatch, ctx: types.RequestContext, signal: AbortSignal, onDelta: (text: string) => void): Promise<Result> {
    const stop = new AbortController()
    const abort = (): void => stop.abort()
    let timedOut = false
    const limit = timers.after(req.timeoutMs, () => { timedOut = true; abort() })
    signal.addEventListener('abort', abort, { once: true })
    if (signal.aborted) abort()
    try {
      const result = await send(door, req, { signal: stop.signal, traceparent: ctx.traceparent, onDelta })
      if (result.ok || !timedOut) return result
      return errors.fail({ tag: 'timeout', verdict: 'mayHaveRun', message: 'no whole answer in time', afterMs: req.timeoutMs })
    } catch (err) {
      log.error({ err, upstream: req.upstream, program: req.program }, 'dispatch failed')
      return errors.fail(errors.failureFrom(err))
    } finally {
      limit.cancel()
      signal.removeEventListener('abort', abort)
    }
  }

  async function send (door: Door, req: types.Dispatch, options: engineClient.CallOptions): Promise<Result> {
    const payload = req.payload
    const target = door.target
    switch (payload.type) {
      case 'model':
        if (target.type !== 'engine') return errors.fail(wrongType(req))
        return await sendToEngine(door, target.client, req, payload, options)
      case 'service':
        if (target.type !== 'service') return errors.fail(wrongType(req))
        return await sendToService(target.client, req, payload, options)
      default: return errors.unreachable(payload)
    }
  }

  function wrongType (req: types.Dispatch): errors.Failure {
    return { tag: 'unknownTarget', verdict: 'notRun', message: `${req.upstream} does not take a ${req.payload.type} call`, field: 'upstream' }
  }

  function requestIdOf (req: types.Dispatch): string {
    return `${req.program}/${req.key}`
  }

  async function sendToEngine (door: Door, client: engineClient.EngineClient, req: types.Dispatch, payload: Extract<types.DispatchPayload, { type: 'model' }>, options: engineClient.CallOptions): Promise<Result> {
    const answer = await client.complete({
      requestId: requestIdOf(req),
      model: payload.model,
      messages: payload.messages,
      maxTokens: payload.maxTokens,
      options: payload.options,
      priority: Math.max(0, Math.round(req.queue.deadline - timers.now())),
      session: req.program
    }, options)
    if (!answer.ok) return answer
    const { message, finishReason, tokens } = answer.value
    return errors.ok({ outcome: { type: 'message', message, finishReason }, tokens, load: loadOf(door) })
  }

  async function sendToService (client: serviceClient.ServiceClient, req: types.Dispatch, payload: Extract<types.DispatchPayload, { type: 'service' }>, options: engineClient.CallOptions): Promise<Result> {
    const answer = await client.call({ requestId: requestIdOf(req), path: payload.path, body: payload.body }, options)
    if (!answer.ok) return answer
    const { status, body } = answer.value
    return errors.ok({ outcome: { type: 'service', status, body }, tokens: { prompt: 0, cached: 0, generated: 0 }, load: null })
  }

  async function seal (wanted: types.Seal): Promise<errors.Result<types.SealState>> {
    return errors.ok(records.seal(wanted))
  }

  async function withHolds (upstream: types.UpstreamId, use: (holds: prefixHolds.PrefixHolds) => Promise<errors.Result<void>>): Promise<errors.Result<void>> {
    const holds = doors.get(upstream)?.holds ?? null
    return holds === null ? errors.fail(unknownUpstream(upstream)) : await use(holds)
  }

  function statusOf (door: Door): types.UpstreamStatus {
    return { upstream: door.target.upstream, type: door.target.type, running: door.slots.running, waiting: door.slots.waiting, holds: door.holds?.size ?? 0 }
  }

  function callsInFlight (): number {
    let calls = 0
    for (const door of doors.values()) calls += door.slots.running + door.slots.waiting
    return calls
  }

  function close (): void {
    for (const subscription of subscriptions) subscription.cancel()
    for (const door of doors.values()) door.holds?.close()
  }

  return {
    setUpstreams,
    dispatch,
    seal,
    hold: (program, term, upstream, holdMs) => withHolds(upstream, (holds) => holds.hold(program, term, holdMs)),
    drop: (program, term, upstream) => withHolds(upstream, (holds) => holds.drop(program, term)),
    status: () => [...doors.values()].map(statusOf),
    loads: () => [...doors.values()].map(loadOf),
    callsInFlight,
    close
  }
}
