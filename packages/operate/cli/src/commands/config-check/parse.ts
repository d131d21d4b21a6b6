/** `config check FILE…` */
import * as clipanion from 'clipanion'
import * as baseCommand from '../../base/base-command.js'
import type * as outcome from '../../base/outcome.js'
import * as call from './call.js'
import * as check from './check.js'

export class ConfigCheckCommand extends baseCommand.BaseCommand {
  static override readonly paths = [['config', 'check']]
  static override readonly usage = clipanion.Command.Usage({
    category: baseCommand.categories.config,
    description: 'Check files without asking the platform.',
    details: `
      Reads each file and prints every error with file, line, column and field.
      Exits with 1 where a file has errors.

      Settings of a process are checked by the process itself: \`eelgrasswind-entry --settings FILE --check\`.
    `,
    examples: [
      ['Check the published configuration', '$0 config check dimasalang.jsonc'],
      ['Check operator settings', '$0 config check --kind operator operator.jsonc']
    ]
  })

  readonly kind = clipanion.Option.String('--kind', 'config', { description: `What the files hold: ${check.fileKinds.join(' or ')}.` })
  readonly files = clipanion.Option.Rest({ name: 'file', required: 1 })

  protected async run (): Promise<outcome.CliResult> {
    const checked = check.checkRequest(this.kind, this.files)
    return checked.ok ? call.checkFiles(checked.value) : checked
  }
}
