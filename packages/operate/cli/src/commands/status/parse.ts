/** `status` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'

export class StatusCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['status']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.watch,
    description: 'Ask every host how it is.',
    details: `
      Prints one line a host of the platform's host list: the version of the configuration in force there, programs and
      calls, and the load of its upstreams. A host that does not answer is listed with the reason. Exits with 3 where no
      host answers.
    `,
    examples: [['Show all hosts', '$0 status --host-list http://10.20.0.6:7001']]
  })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    return settings.ok ? await call.showStatus(settings.value, this.context.timers) : settings
  }
}
