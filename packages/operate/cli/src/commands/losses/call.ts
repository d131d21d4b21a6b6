/** Sums up losses from log files, which are read side by side in order of time. */
import * as errors from '@eelgrasswind/errors'
import * as findLoss from '@eelgrasswind/find-losses'
import * as logFiles from '../../base/log-files.js'
import type * as outcome from '../../base/outcome.js'
import * as table from '../../base/table.js'

/** The lines to look at, ms since the epoch. */
export interface LossesWindow {
  readonly sinceMs: number | undefined
  readonly untilMs: number | undefined
}

const headings = ['REQUESTS', 'PROGRAMS ENDED', 'KIND', 'OUTCOME', 'STATUS', 'CAUSE', 'MEAN MS', 'WORST SECOND', 'WORST HOST', 'EXAMPLE']

export async function findLosses (files: readonly string[], { sinceMs = -Infinity, untilMs = Infinity }: LossesWindow): Promise<outcome.CliResult> {
  const missing = logFiles.findMissing(files)
  if (missing !== undefined) return errors.fail(missing)
  const finder = new findLoss.LossFinder()
  for await (const line of logFiles.readInOrder(files)) {
    const time = Date.parse(line.time)
    if (time >= sinceMs && time < untilMs) finder.take(line)
  }
  const report = finder.report()
  return errors.ok({ text: format(report), json: report })
}

function format (report: findLoss.LossReport): string {
  const rows = report.losses.map((loss) => [loss.requests, loss.programsEnded, loss.kind, loss.outcome, loss.status, loss.cause, loss.meanMs, loss.worstSecond, loss.worstHost, loss.example].map(String))
  const sums = `${report.failed} of ${report.requests} requests failed, ${report.unexplained} of them without a line that tells why; ` +
    `the last request of ${report.programsEnded} of ${report.programs} programs failed`
  const gaps = report.gaps === 0 ? '' : `\n${report.gaps} lines say that others were left out: there were more whole requests than counted`
  return rows.length === 0 ? sums + gaps : `${sums}${gaps}\n${table.formatTable(headings, rows)}`
}
