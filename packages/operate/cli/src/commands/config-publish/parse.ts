/** `config publish FILE` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import * as configFile from '../../base/config-file.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'
import * as check from './check.js'

export class ConfigPublishCommand extends baseCommand.PlatformCommand {
  static override readonly paths = [['config', 'publish']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.config,
    description: 'Publish a file as the configuration.',
    details: `
      Appends the difference between the file and the version in force, and reads the log until the fate of the change is
      known. Where another operator's change came first, nothing of this one takes effect and the exit code is 1: look at
      \`config diff\` and publish again. With --based-on the change is refused unless that version is in force, so that a
      file made from an older version cannot undo what was published since.

      Exits with 4 where the change was sent and its fate could not be learnt in time; publishing the same file again is safe.
    `,
    examples: [
      ['Publish', '$0 config publish --log http://10.20.0.5:7000 dimasalang.jsonc'],
      ['Publish an edited copy of version 41 and wait until every host has it', '$0 config publish --based-on 41 --wait dimasalang.jsonc'],
      ['Only show the change', '$0 config publish --dry-run dimasalang.jsonc']
    ]
  })

  readonly basedOn = clipanion.Option.String('--based-on', { description: 'Version that the file was made from; refuses where another one is in force.' })
  readonly by = clipanion.Option.String('--by', { description: 'Name written into the change.' })
  readonly dryRun = clipanion.Option.Boolean('--dry-run', false, { description: 'Show the change and end.' })
  readonly wait = clipanion.Option.Boolean('--wait', false, { description: 'Wait until the hosts of the host list have the new version.' })
  readonly file = clipanion.Option.String({ name: 'file' })

  protected async run (): Promise<outcome.CliResult> {
    const settings = this.operatorSettings()
    if (!settings.ok) return settings
    const config = configFile.readConfigFile(this.file)
    if (!config.ok) return config
    const req = check.checkRequest(settings.value, config.value, this)
    return req.ok ? await call.publish(req.value, this.context.timers, this.progress) : req
  }
}
