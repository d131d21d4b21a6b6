/** `explain-request REQUEST --logs FILE` */
import * as clipanion from 'clipanion'
import * as errors from '@eelgrasswind/errors'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'

export class ExplainRequestCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['explain-request']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Tell the story of one request from the logs of the processes.',
    details: `
      Prints the request's own lines in order of time across hosts, with what those hosts believed: the newest word before
      the request, and all that changed while it ran.
    `,
    examples: [['Why was it refused?', '$0 explain-request 202dc96612d46b26 --logs front-1.log --logs front-2.log']]
  })

  readonly request = clipanion.Option.String({ name: 'request' })
  readonly logs = clipanion.Option.Array('--logs', { description: 'A file of log lines; may be given several times.' })

  protected async run (): Promise<outcome.CliResult> {
    if (this.logs === undefined || this.logs.length === 0) return errors.fail({ tag: 'usage', message: '--logs: expected at least one file' })
    return await call.explainRequest(this.request, this.logs)
  }
}
