/** The report of the overhead command as text. */
import type * as overhead from '../../measure/overhead.js'

function ms (value: number): string {
  return value.toFixed(2).padStart(9)
}

function latencyLine (name: string, { first, whole }: overhead.WayLatency): string {
  return `${name.padEnd(18)}${ms(first.p50)}${ms(first.p99)}${ms(whole.p50)}${ms(whole.p99)}`
}

function costLine ({ name, cpuMsPerCall, residentMiB }: overhead.ProcessCost): string {
  return `  ${name.padEnd(16)}${ms(cpuMsPerCall)} ms of processor time a call, ${residentMiB.toFixed(0)} MiB resident`
}

function levelLines (level: overhead.LoadLevel): string[] {
  const { concurrency, calls, failures, directPerSecond, pathPerSecond, pathP50, pathP99 } = level
  return [
    `${concurrency} concurrent, ${calls} calls: ${directPerSecond.toFixed(0)}/s direct, ${pathPerSecond.toFixed(0)}/s through the path, p50 ${pathP50.toFixed(2)} ms, p99 ${pathP99.toFixed(2)} ms`,
    ...Object.entries(failures).map(([code, count]) => `  FAILED: ${count} ${code}`),
    ...level.processes.map(costLine)
  ]
}

export function formatReport (report: overhead.OverheadReport): string {
  return [
    `seed ${report.seed}, ${report.pairs} pairs, one call at a time, answers that stream; milliseconds`,
    `${''.padEnd(18)}first p50      p99whole p50      p99`,
    latencyLine('direct', report.direct),
    latencyLine('through the path', report.path),
    latencyLine('added, by pairs', report.added),
    ...report.paired.map(costLine),
    'at rest',
    ...report.atRest.map(({ name, residentMiB }) => `  ${name.padEnd(16)}${residentMiB.toFixed(0)} MiB resident`),
    'calls that do not stream',
    ...report.levels.flatMap(levelLines)
  ].join('\n')
}
