/** Runs one command line. */
import type * as tty from 'node:tty'
import * as clipanion from 'clipanion'
import type * as baseCommand from './base/base-command.js'
import * as exitCodes from './base/exit-code.js'
import * as configCheck from './commands/config-check/parse.js'
import * as configDiff from './commands/config-diff/parse.js'
import * as configPublish from './commands/config-publish/parse.js'
import * as configShow from './commands/config-show/parse.js'
import * as explain from './commands/explain/parse.js'
import * as explainRequest from './commands/explain-request/parse.js'
import * as losses from './commands/losses/parse.js'
import * as programsList from './commands/programs-list/parse.js'
import * as programsShow from './commands/programs-show/parse.js'
import * as programsWatch from './commands/programs-watch/parse.js'
import * as status from './commands/status/parse.js'

/** Version of the binary. */
const version = '0.1.0'

const commands = [
  configCheck.ConfigCheckCommand,
  configDiff.ConfigDiffCommand,
  configPublish.ConfigPublishCommand,
  configShow.ConfigShowCommand,
  status.StatusCommand,
  programsList.ProgramsListCommand,
  programsShow.ProgramsShowCommand,
  programsWatch.ProgramsWatchCommand,
  explain.ExplainCommand,
  explainRequest.ExplainRequestCommand,
  losses.LossesCommand
]

function createCli (enableColors: boolean): clipanion.Cli<baseCommand.CliContext> {
  const cli = new clipanion.Cli<baseCommand.CliContext>({ binaryLabel: 'Eelgrasswind', binaryName: 'eelgrasswind', binaryVersion: version, enableColors })
  for (const command of [clipanion.Builtins.HelpCommand, clipanion.Builtins.VersionCommand, ...commands]) cli.register(command)
  return cli
}

/** Resolves with the exit code. */
export async function runCli (args: readonly string[], context: baseCommand.CliContext): Promise<number> {
  const cli = createCli((context.stdout as Partial<tty.WriteStream>).isTTY === true)
  let command: clipanion.Command<baseCommand.CliContext>
  try {
    command = cli.process([...args], context)
  } catch (err) {
    context.stderr.write(cli.error(err as Error))
    return exitCodes.exitCode.usage
  }
  return await cli.run(command, context)
}
