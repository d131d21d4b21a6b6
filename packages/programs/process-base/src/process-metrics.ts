/** Gauges that every process sends periodically. */
import * as perfHooks from 'node:perf_hooks'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as processBase from './process-base.js'

/** Interval at which gauges are sent. */
const intervalMs = 10_000
const microsPerMs = 1_000
const nanosPerMs = 1_000_000
const percent = 100

/** Starts sending the gauges. `sendProcessSpecific` sends those of this kind of process. */
export function startProcessMetrics (base: processBase.ProcessBase, sendProcessSpecific: () => void): timerService.Subscription {
  const eventLoopDelay = perfHooks.monitorEventLoopDelay()
  eventLoopDelay.enable()
  let cpu = process.cpuUsage()
  let lastSentAt = base.timers.monotonic()

  function send (): void {
    const now = base.timers.monotonic()
    const used = process.cpuUsage(cpu)
    cpu = process.cpuUsage()
    base.metrics.gauge('process.cpu', (used.user + used.system) / microsPerMs / (now - lastSentAt) * percent)
    lastSentAt = now
    base.metrics.gauge('process.memory', process.memoryUsage.rss())
    base.metrics.gauge('process.loop_delay', eventLoopDelay.max / nanosPerMs)
    eventLoopDelay.reset()
    base.metrics.gauge('config.version', base.configFollower.current()?.version ?? 0)
    base.metrics.gauge('host.live', [...base.directory.listHosts()].filter(({ state }) => state === 'live').length)
    sendProcessSpecific()
  }

  const subscription = base.timers.every(intervalMs, send)
  return {
    cancel () {
      subscription.cancel()
      eventLoopDelay.disable()
    }
  }
}
