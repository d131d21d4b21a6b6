/** What every command has in common: options, output and exit code. */
import * as clipanion from 'clipanion'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as errors from '@eelgrasswind/errors'
import * as exitCodes from './exit-code.js'
import * as operatorSettings from './operator-settings.js'
import * as outcome from './outcome.js'

/** What a command gets from its process. */
export interface CliContext extends clipanion.BaseContext {
  readonly timers: timerService.TimerService
}

export abstract class BaseCommand extends clipanion.Command<CliContext> {
  readonly json = clipanion.Option.Boolean('--json', false, { description: 'Print JSON instead of text.' })

  async execute (): Promise<number> {
    try {
      const result = await this.run()
      return result.ok ? this.printOutcome(result.value) : this.printFailure(result.failure)
    } catch (err) {
      this.progress(err instanceof Error ? err.stack ?? err.message : String(err))
      return exitCodes.exitCode.internal
    }
  }

  protected abstract run (): Promise<outcome.CliResult>

  /** Prints a line on standard error, so that standard output holds nothing but the result. */
  protected readonly progress = (line: string): void => {
    this.context.stderr.write(`${line}\n`)
  }

  /** Prints a line of the result. */
  protected readonly print = (line: string): void => {
    this.context.stdout.write(`${line}\n`)
  }

  private printOutcome (found: outcome.Outcome): number {
    const text = this.json ? JSON.stringify(found.json, null, 2) as string | undefined : found.text
    if (text !== undefined && text !== '') this.print(text)
    return exitCodes.exitCode.ok
  }

  private printFailure (failure: outcome.CliFailure): number {
    if (this.json) this.print(JSON.stringify({ error: failure }, null, 2))
    else this.progress(outcome.formatFailure(failure))
    return outcome.exitCodeOf(failure)
  }
}

/** A command that asks the platform. */
export abstract class PlatformCommand extends BaseCommand {
  readonly log = clipanion.Option.String('--log', { description: 'The platform\'s log service, as http://IP:PORT.' })
  readonly hostList = clipanion.Option.String('--host-list', { description: 'The platform\'s host list, as http://IP:PORT.' })
  readonly settings = clipanion.Option.String('--settings', { description: `Operator settings in JSON with comments; by default the file named by ${operatorSettings.settingsVariable}.` })

  protected operatorSettings (): errors.Result<operatorSettings.OperatorSettings, outcome.CliFailure> {
    return operatorSettings.resolveSettings(this, this.context.env)
  }
}

/** Heads the commands in the list of all commands. */
export const categories = {
  config: 'Configuration',
  watch: 'What runs'
} as const
