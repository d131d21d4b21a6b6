/** The door of one engine: a queue by the order rule, and the late news that others get of it. */
import * as orderQueue from '@eelgrasswind/order-queue'
import type * as placeCall from '@eelgrasswind/place-call'
import * as retainPrefix from '@eelgrasswind/retain-prefix'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as fakeEngine from './fake-engine.js'

/** A call handed to an upstream. */
export interface UpstreamCall {
  readonly job: fakeEngine.EngineJob
  /** It certainly did not run: the engine is gone. */
  readonly onRefused: () => void
}

export interface UpstreamPlace {
  readonly upstream: types.UpstreamId
  readonly host: types.HostId
  readonly availabilityZone: types.AvailabilityZoneId
}

const connectionRefusedMs = 1
/** How often a call that waits for cache memory is tried again. */
const retryMemoryMs = 500
export const reportEveryMs = 1_000

export class Upstream {
  readonly place: UpstreamPlace
  readonly engine: fakeEngine.FakeEngine
  /** Learnt from the evictions that the engine reports. */
  readonly evictionAge = retainPrefix.createEvictionAgeTracker()
  /** What the host list says of it. */
  listed: 'live' | 'leaving' = 'live'
  /** The load that has arrived at others. */
  reported: placeCall.ReportedLoad | undefined
  reportLagMs: number
  readonly #queue: orderQueue.OrderQueue<UpstreamCall>
  readonly #waiting = new Map<UpstreamCall, orderQueue.WaitingItem<UpstreamCall>>()
  readonly #timers: timerService.TimerService
  /** Taken from the queue, but there is no memory for it yet. */
  #blocked: UpstreamCall | undefined

  constructor (place: UpstreamPlace, engine: fakeEngine.FakeEngine, rule: orderQueue.OrderRule, reportLagMs: number, timers: timerService.TimerService) {
    this.place = place
    this.engine = engine
    this.reportLagMs = reportLagMs
    this.#timers = timers
    this.#queue = orderQueue.createOrderQueue(rule)
    timers.every(retryMemoryMs, () => this.pump())
    timers.every(reportEveryMs, () => this.#report())
  }

  get waiting (): number {
    return this.#queue.size + (this.#blocked === undefined ? 0 : 1)
  }

  submit (call: UpstreamCall, about: orderQueue.WaitingCall): void {
    if (!this.engine.alive) {
      this.#timers.after(connectionRefusedMs, call.onRefused)
      return
    }
    const item = { ...about, value: call }
    this.#waiting.set(call, item)
    this.#queue.push(item)
    this.pump()
  }

  cancel (call: UpstreamCall): void {
    const item = this.#waiting.get(call)
    if (item !== undefined) this.#queue.remove(item)
    this.#waiting.delete(call)
    if (this.#blocked === call) this.#blocked = undefined
    this.engine.cancel(call.job)
    this.pump()
  }

  /** Starts what the engine has room for. */
  pump (): void {
    if (!this.engine.alive) return
    for (let next = this.#next(); next !== undefined; next = this.#next()) {
      if (!this.engine.tryStart(next.job)) {
        this.#blocked = next
        return
      }
    }
  }

  /** The engine is gone: nothing that waits will run. */
  refuseAll (): void {
    const waiting = [...this.#waiting.keys(), ...(this.#blocked === undefined ? [] : [this.#blocked])]
    for (const item of [...this.#queue.items()]) this.#queue.remove(item)
    this.#waiting.clear()
    this.#blocked = undefined
    for (const call of waiting) call.onRefused()
  }

  #next (): UpstreamCall | undefined {
    const blocked = this.#blocked
    this.#blocked = undefined
    if (blocked !== undefined) return blocked
    if (this.engine.load.running >= this.engine.slots) return undefined
    const taken = this.#queue.pop(this.#timers.now())
    if (taken !== undefined) this.#waiting.delete(taken.item.value)
    return taken?.item.value
  }

  #report (): void {
    const report = { running: this.engine.load.running, waiting: this.waiting, at: this.#timers.now() }
    this.#timers.after(this.reportLagMs, () => {
      if (report.at > (this.reported?.at ?? -1)) this.reported = report
    })
  }
}
