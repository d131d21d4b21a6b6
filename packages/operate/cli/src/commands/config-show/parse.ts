/** `config show` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'

export class ConfigShowCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['config', 'show']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.config,
    description: 'Print the configuration in force.',
    details: `
      Prints the whole document with every default written out. The first line is a comment with the version, so that
      the output can be saved, edited and published again with --based-on.
    `,
    examples: [['Save the version in force', '$0 config show --log http://10.20.0.5:7000 > dimasalang.jsonc']]
  })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    return settings.ok ? await call.showConfig(settings.value, this.context.timers) : settings
  }
}
