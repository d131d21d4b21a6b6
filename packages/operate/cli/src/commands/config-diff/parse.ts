/** `config diff FILE` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import * as configFile from '../../base/config-file.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'

export class ConfigDiffCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['config', 'diff']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.config,
    description: 'Show what publishing a file would change.',
    details: `
      Compares a file with the version in force: + for what it adds, ~ for each field that it changes, - for what it removes.
    `,
    examples: [['Compare with the version in force', '$0 config diff --log http://10.20.0.5:7000 dimasalang.jsonc']]
  })

  readonly file = clipanion.Option.String({ name: 'file' })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const config = configFile.readConfigFile(this.file)
    return config.ok ? await call.showDifferences(settings.value, this.context.timers, config.value) : config
  }
}
