/** `programs show PROGRAM` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as programId from '../program-id.js'
import * as call from './call.js'

export class ProgramsShowCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['programs', 'show']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Show one program with its history.',
    details: `
      Finds the program's home among the sidecars and reads the program there. A program that no sidecar lists is not
      looked up in the log, since that would make the host asked its home.
    `,
    examples: [['Show a program', '$0 programs show --host-list http://10.20.0.6:7001 roster-118']]
  })

  readonly program = clipanion.Option.String({ name: 'program' })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const program = programId.checkProgramId(this.program)
    return program.ok ? await call.showProgram(settings.value, this.context.timers, program.value) : program
  }
}
