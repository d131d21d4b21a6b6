/** Periodic metrics of a sidecar's programs, upstreams and journal. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import type * as guardUpstream from '@eelgrasswind/guard-upstream'
import type * as metrics from '@eelgrasswind/metrics'
import type * as programHome from '@eelgrasswind/program-home'

/** Returns a function that sends the gauges, and the increase of the counters since its last call. */
export function createSidecarMetrics (metricSender: metrics.Metrics, home: programHome.ProgramHome, guard: guardUpstream.UpstreamGuard, journal: appendJournal.Journal): () => void {
  let previous = { ...journal.getCounters() }

  return () => {
    const counters = { ...journal.getCounters() }
    metricSender.increment('log.appends', counters.appends - previous.appends)
    metricSender.increment('log.append_failed', counters.failedAppends - previous.failedAppends)
    metricSender.increment('log.records', counters.records - previous.records)
    metricSender.increment('log.written', counters.bytesWritten - previous.bytesWritten)
    metricSender.increment('log.read', counters.bytesRead - previous.bytesRead)
    previous = counters
    metricSender.gauge('log.unavailable', journal.isAvailable() ? 0 : 1)
    metricSender.gauge('program.open', home.programCount)
    for (const { upstream, running, waiting } of guard.getStatus()) {
      metricSender.gauge('upstream.running', running, { upstream })
      metricSender.gauge('queue.length', waiting, { upstream })
    }
  }
}
