/** What every process says of itself, once a period. */
import * as perfHooks from 'node:perf_hooks'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as processBase from './process-base.js'

/** How often gauges are sent, in milliseconds. */
const periodMs = 10_000
const microsPerMs = 1_000
const nanosPerMs = 1_000_000
const percent = 100

/** `more` sends the values that only this kind of process has. */
export function startProcessMetrics (base: processBase.ProcessBase, more: () => void): timerService.Subscription {
  const delay = perfHooks.monitorEventLoopDelay()
  delay.enable()
  let cpu = process.cpuUsage()
  let at = base.timers.monotonic()

  function send (): void {
    const now = base.timers.monotonic()
    const used = process.cpuUsage(cpu)
    cpu = process.cpuUsage()
    base.metrics.gauge('process.cpu', (used.user + used.system) / microsPerMs / (now - at) * percent)
    at = now
    base.metrics.gauge('process.memory', process.memoryUsage.rss())
    base.metrics.gauge('process.loop_delay', delay.max / nanosPerMs)
    delay.reset()
    base.metrics.gauge('config.version', base.configFollower.current()?.version ?? 0)
    base.metrics.gauge('host.live', [...base.directory.listHosts()].filter(({ state }) => state === 'live').length)
    more()
  }

  const sending = base.timers.every(periodMs, send)
  return {
    cancel () {
      sending.cancel()
      delay.disable()
    }
  }
}
