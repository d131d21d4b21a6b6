/** `losses --logs FILE` */
import * as clipanion from 'clipanion'
import * as errors from '@eelgrasswind/errors'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'

export class LossesCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['losses']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Sum up what went wrong for clients, from the logs of the processes.',
    details: `
      Prints one row for each reason for which requests failed, those that ended most programs first, with one request
      each for explain-request. Reads the files line by line and in order of time, so logs of any size take little memory.
    `,
    examples: [['Why did programs fail between two moments?', '$0 losses --logs front-1.log --logs front-2.log --since 2026-06-01T08:00:00Z --until 2026-06-01T08:05:00Z']]
  })

  readonly logs = clipanion.Option.Array('--logs', { description: 'A file of log lines; may be given several times.' })
  readonly since = clipanion.Option.String('--since', { description: 'Only lines from this time on, ISO 8601.' })
  readonly until = clipanion.Option.String('--until', { description: 'Only lines before this time, ISO 8601.' })

  protected async run (): Promise<outcome.CliResult> {
    if (this.logs === undefined || this.logs.length === 0) return errors.fail({ tag: 'usage', message: '--logs: expected at least one file' })
    const since = parseTime('--since', this.since)
    if (!since.ok) return since
    const until = parseTime('--until', this.until)
    if (!until.ok) return until
    return await call.findLosses(this.logs, { sinceMs: since.value, untilMs: until.value })
  }
}

function parseTime (option: string, text: string | undefined): errors.Result<number | undefined, outcome.CliFailure> {
  if (text === undefined) return errors.ok(undefined)
  const time = Date.parse(text)
  if (Number.isNaN(time)) return errors.fail({ tag: 'usage', message: `${option}: expected a time as 2026-06-01T08:00:00Z, got ${text}` })
  return errors.ok(time)
}
