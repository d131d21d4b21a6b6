/** Writes a report as lines of text. */
import type * as latencies from './latencies.js'
import type * as summary from './summary.js'

export function formatMs (ms: number): string {
  return ms >= 1000 ? `${(ms / 1000).toFixed(2)} s` : `${ms.toFixed(0)} ms`
}

/** A dash stands for a share of nothing. */
export function formatShare (share: number | null): string {
  return share === null ? '-' : `${(100 * share).toFixed(1)}%`
}

export function formatLatency (latency: latencies.LatencySummary | null): string {
  if (latency === null) return 'none'
  return `p50 ${formatMs(latency.p50)}, p95 ${formatMs(latency.p95)}, p99 ${formatMs(latency.p99)}, most ${formatMs(latency.max)} (${latency.count})`
}

export function formatFailures (failures: readonly summary.FailureCount[]): string {
  return failures.length === 0 ? 'none' : failures.map(({ code, verdict, count }) => `${count} ${code} ${verdict}`).join(', ')
}

export function formatEnds (ends: summary.EndCounts): string {
  return Object.entries(ends).filter(([, count]) => count > 0).map(([end, count]) => `${count} ${end}`).join(', ')
}

export interface ReportLine {
  readonly name: string
  readonly value: string
}

/** The figures of a report, each under its name. */
export function reportLines (report: summary.LoadReport): readonly ReportLine[] {
  const { starts, repeats, tokens } = report
  const prompt = tokens.promptComputed + tokens.promptCached
  return [
    { name: 'programs', value: `${report.offered} offered: ${formatEnds(report.ends)}` },
    { name: 'program latency', value: formatLatency(report.latency) },
    { name: 'weight in time', value: `${formatShare(report.weightedInTime)} of all meant to finish, ${formatShare(report.weightedInTimeStarted)} of those started` },
    { name: 'starts refused', value: `${starts.refusedFirst} at first; ${formatFailures(starts.refusals)}` },
    { name: 'second tries', value: `${starts.secondTries}: ${starts.secondStarted} started, ${starts.secondInTime} finished in time; ${starts.noSecondTry} not tried, as told to come back after the deadline or not at all` },
    { name: 'calls', value: `${report.modelCalls} to models, ${report.serviceCalls} to services` },
    { name: 'calls failed', value: formatFailures(report.failures) },
    { name: 'failed as planned', value: formatFailures(report.expectedFailures) },
    { name: 'repeated keys', value: `${repeats.askedAgain} asked again: ${repeats.answeredFromHistory} answered from the history, ${repeats.ranAgain} RAN AGAIN, ${repeats.failed} failed` },
    { name: 'prompt tokens', value: `${tokens.promptComputed} computed, ${tokens.promptCached} cached (${formatShare(prompt === 0 ? null : tokens.promptCached / prompt)})` },
    { name: 'generated tokens', value: String(tokens.generated) },
    { name: 'first token', value: formatLatency(report.firstText) },
    { name: 'model call', value: formatLatency(report.modelCall) },
    ...report.kinds.map((one) => ({ name: `${one.kind} (weight ${one.weight})`, value: `${one.offered} offered: ${formatEnds(one.ends)}; in time ${formatShare(one.inTimeShare)}; ${formatLatency(one.latency)}` }))
  ]
}

const nameWidth = 32

export function formatRun ({ deployment, seed, rate, warmUpSeconds, seconds, timeScale }: summary.RunDescription): string {
  return `${deployment}, seed ${seed}, ${rate} programs a second for ${seconds} s after ${warmUpSeconds} s of warm-up, time scale ${timeScale}`
}

export function formatReport (report: summary.LoadReport): string {
  return [formatRun(report.run), ...reportLines(report).map(({ name, value }) => `${name.padEnd(nameWidth)}${value}`)].join('\n')
}
