/** Runs one command line of the load binary. */
import * as clipanion from 'clipanion'
import * as overhead from './commands/overhead/parse.js'
import * as run from './commands/run/parse.js'

/** Version of the binary. */
const version = '0.1.0'

/** A folder under `commands` for each. */
const commands = [
  overhead.OverheadCommand,
  run.RunCommand
]

/** Resolves with the exit code. */
export async function runLoad (args: readonly string[], context: Partial<clipanion.BaseContext> = {}): Promise<number> {
  const cli = new clipanion.Cli({ binaryLabel: 'Eelgrasswind load', binaryName: 'eelgrasswind-load', binaryVersion: version })
  for (const command of [clipanion.Builtins.HelpCommand, clipanion.Builtins.VersionCommand, ...commands]) cli.register(command)
  return await cli.run([...args], { ...clipanion.Cli.defaultContext, ...context })
}
