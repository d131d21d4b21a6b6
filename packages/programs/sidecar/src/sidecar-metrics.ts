/** What a sidecar says of its programs, its upstreams and its journal, once a period. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import type * as guardUpstream from '@eelgrasswind/guard-upstream'
import type * as metrics from '@eelgrasswind/metrics'
import type * as programHome from '@eelgrasswind/program-home'

/** Sends the gauges, and the counters' growth since the last call. */
export function createSidecarMetrics (sent: metrics.Metrics, home: programHome.ProgramHome, guard: guardUpstream.UpstreamGuard, journal: appendJournal.Journal): () => void {
  let before = { ...journal.getCounters() }

  return () => {
    const counters = { ...journal.getCounters() }
    sent.increment('log.appends', counters.appends - before.appends)
    sent.increment('log.append_failed', counters.failedAppends - before.failedAppends)
    sent.increment('log.records', counters.records - before.records)
    sent.increment('log.written', counters.bytesWritten - before.bytesWritten)
    sent.increment('log.read', counters.bytesRead - before.bytesRead)
    before = counters
    sent.gauge('log.unavailable', journal.isAvailable() ? 0 : 1)
    sent.gauge('program.open', home.programCount)
    for (const { upstream, running, waiting } of guard.status()) {
      sent.gauge('upstream.running', running, { upstream })
      sent.gauge('queue.length', waiting, { upstream })
    }
  }
}
