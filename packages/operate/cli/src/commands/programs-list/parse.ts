/** `programs list` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'
import * as check from './check.js'

export class ProgramsListCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['programs', 'list']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'List programs and their homes.',
    details: `
      Asks every sidecar for the programs that it is the home of. Hosts that do not answer are named, since their programs
      are missing.
    `,
    examples: [
      ['List all programs', '$0 programs list --host-list http://10.20.0.6:7001'],
      ['List programs of one kind that are past their deadline', '$0 programs list --kind roster-walk --state late']
    ]
  })

  readonly client = clipanion.Option.String('--client', { description: 'Only programs of this client.' })
  readonly kind = clipanion.Option.String('--kind', { description: 'Only programs of this kind.' })
  readonly state = clipanion.Option.String('--state', { description: `Only programs that are ${check.programStates.join(', ')}.` })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const filter = check.checkFilter(this)
    return filter.ok ? await call.listPrograms(settings.value, this.context.timers, filter.value) : filter
  }
}
