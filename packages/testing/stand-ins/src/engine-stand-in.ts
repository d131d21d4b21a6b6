/** Stand-in of a model engine: continuous batching, a prefix cache, orders and their faults. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import * as control from './control.js'
import * as engineBatch from './engine-batch.js'
import * as engineCache from './engine-cache.js'
import * as engineControl from './engine-control.js'
import * as generations from './engine-generations.js'
import * as messages from './engine-messages.js'
import * as engineOrders from './engine-orders.js'
import * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'
import * as lateReports from './late-reports.js'
import * as pausing from './pauses.js'
import type * as prefixTree from './prefix-tree.js'

export interface EngineCounters extends generations.GenerationCounters {
  readonly sessions: readonly engineCache.SessionMemory[]
  readonly orders: readonly messages.EngineOrder[]
}

export interface EngineStandIn {
  readonly address: string
  /** The scope of a fault is the session. */
  readonly faults: faultPlan.Faults<messages.EngineFault>
  control: (message: messages.EngineControl) => void
  counters: () => EngineCounters
  /** How often a generation of that request id began. */
  executions: (requestId: string) => number
  /** Memory that each session takes, held or not. */
  sessions: () => readonly engineCache.SessionMemory[]
  close: () => Promise<void>
}

const defaultRetryAfterMs = 1000

export async function createEngineStandIn (settings: messages.EngineSettings): Promise<EngineStandIn> {
  const cfg = messages.engineSettings.parse(settings)
  const timers = settings.timers ?? timerService.createRealTimers()
  const pauses = pausing.createPauses(timers)
  const faults = faultPlan.createFaults<messages.EngineFault>()
  const events = lateReports.createEventFeed<prefixTree.CacheChange>(timers, cfg.eventLagMs, cfg.eventLossEvery)
  const cache = engineCache.createEngineCache(cfg.cacheCapacity, events.push)
  const batch = engineBatch.createBatch(timers, cfg)
  const orders = engineOrders.createEngineOrders(cfg.models, cfg.checksFencing)
  const load = lateReports.createLaggingValue<engineControl.LoadReport>(timers, cfg.loadLagMs, loadNow())
  const answerControl = engineControl.createEngineControl({ pauses, cache, orders, orderMs: cfg.orderMs, load, events, changed })
  const runs = generations.createGenerations({ timers, batch, cache, faults, cacheCapacity: cfg.cacheCapacity, changed })

  function loadNow (): engineControl.LoadReport {
    return { running: batch.running(), waiting: batch.waiting(), cacheTokens: cache.usedTokens(), cacheCapacity: cfg.cacheCapacity, at: timers.now() }
  }

  function changed (): void {
    load.set(loadNow())
  }

  function serveChat (exchange: httpHost.Exchange): void {
    const requestId = exchange.req.headers['x-request-id']
    if (typeof requestId !== 'string') throw new httpHost.HttpError(400, 'x-request-id is missing')
    const request = messages.chatRequest.safeParse(control.parseJson(exchange.body))
    if (!request.success) return httpHost.sendJson(exchange.res, 400, { error: { message: request.error.message } }, { 'x-request-id': requestId })
    runs.serve(exchange, request.data, requestId)
  }

  async function serveControl (exchange: httpHost.Exchange, place: engineControl.ControlPlace): Promise<void> {
    const fault = faults.take(place, (one) => one.type === 'control' && one.on === place)
    const how = fault?.type === 'control' ? fault.how : undefined
    switch (how) {
      case 'refuse':
        return httpHost.sendRefusal(exchange.res, 503, defaultRetryAfterMs)
      case 'reset':
        return httpHost.resetConnection(exchange.res)
      case 'hang':
        return await faults.cleared()
      case 'loseAnswer':
        await answerControl(exchange, place)
        return httpHost.resetConnection(exchange.res)
      case undefined:
        return httpHost.sendJson(exchange.res, 200, await answerControl(exchange, place))
      default:
        errors.assertNever(how)
    }
  }

  async function handle (exchange: httpHost.Exchange): Promise<void> {
    if (control.serveControl(exchange, applyText, counters)) return
    const [version, name, second] = exchange.path
    if (version === 'v1' && name === 'chat' && second === 'completions') return serveChat(exchange)
    const place = messages.controlPlace.safeParse(name)
    if (version !== 'v1' || !place.success) throw new httpHost.HttpError(404, 'no such path')
    await serveControl(exchange, place.data)
  }

  function applyText (body: string): void {
    apply(control.parseControl(messages.engineControl, body))
  }

  function apply (message: messages.EngineControl): void {
    control.applyFault(faults, message)
  }

  function counters (): EngineCounters {
    return { ...runs.counters(), sessions: cache.sessions(), orders: orders.taken() }
  }

  const host = await httpHost.createHttpHost(settings.port, handle)

  async function close (): Promise<void> {
    batch.close()
    pauses.close()
    await host.close()
    faults.clear()
  }

  return { address: host.address, faults, control: apply, counters, executions: runs.executions, sessions: cache.sessions, close }
}
