/** `programs watch [PROGRAM]` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'
import * as check from './check.js'

export class ProgramsWatchCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['programs', 'watch']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Print what changes about programs until interrupted.',
    details: `
      Prints one line whenever a program starts, takes a turn, moves to another home, becomes late or finishes; with --json
      one document a line. With a program, ends when it has finished.
    `,
    examples: [
      ['Watch all programs', '$0 programs watch --host-list http://10.20.0.6:7001'],
      ['Watch one program every half second', '$0 programs watch --interval 0.5 roster-118']
    ]
  })

  readonly interval = clipanion.Option.String('--interval', '2', { description: 'Seconds between two looks.' })
  readonly looks = clipanion.Option.String('--looks', { description: 'End after so many looks.' })
  readonly program = clipanion.Option.String({ name: 'program', required: false })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const req = check.checkRequest(this)
    if (!req.ok) return req
    return await call.watchPrograms(settings.value, this.context.timers, req.value, { json: this.json, print: this.print, progress: this.progress })
  }
}
