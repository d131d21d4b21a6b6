/** `explain PROGRAM [KEY]` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as programId from '../program-id.js'
import * as call from './call.js'

export class ExplainCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['explain']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Explain the decisions taken for a program.',
    details: `
      Prints, in order of time, why the program was admitted, how its calls were ordered and placed, and what was retried
      or held; with a key only for that call. Decisions are kept in memory by the process that took them.
    `,
    examples: [
      ['Explain a program', '$0 explain --host-list http://10.20.0.6:7001 roster-118'],
      ['Explain one call', '$0 explain roster-118 call-4']
    ]
  })

  readonly program = clipanion.Option.String({ name: 'program' })
  readonly key = clipanion.Option.String({ name: 'key', required: false })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const program = programId.checkProgramId(this.program)
    if (!program.ok) return program
    const key = programId.checkRequestKey(this.key)
    return key.ok ? await call.explain(settings.value, this.context.timers, program.value, key.value) : key
  }
}
