/** How a command ends. */
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as exitCodes from './exit-code.js'

/** What a command prints at its end. */
export interface Outcome {
  readonly text: string
  /** The same for programs, printed with --json; undefined where the command has printed all by then. */
  readonly json: unknown
}

/** Part of the platform that a command asks. */
export type PlatformPart = 'log' | 'host list' | 'hosts'

export type CliFailure =
  | { readonly tag: 'usage', readonly message: string }
  | { readonly tag: 'unreadableFile', readonly file: string, readonly message: string }
  | { readonly tag: 'invalidSettings', readonly errors: readonly parseSettings.SettingsError[] }
  | { readonly tag: 'refused', readonly message: string, readonly versionInForce: number }
  | { readonly tag: 'notFound', readonly message: string }
  | { readonly tag: 'unavailable', readonly part: PlatformPart, readonly message: string }
  | { readonly tag: 'unknownFate', readonly message: string, readonly change: string }

export type CliResult = errors.Result<Outcome, CliFailure>

export function exitCodeOf (failure: CliFailure): exitCodes.ExitCode {
  switch (failure.tag) {
    case 'usage':
    case 'unreadableFile': return exitCodes.exitCode.usage
    case 'invalidSettings':
    case 'refused':
    case 'notFound': return exitCodes.exitCode.refused
    case 'unavailable': return exitCodes.exitCode.unavailable
    case 'unknownFate': return exitCodes.exitCode.unknown
    default: return errors.assertNever(failure)
  }
}

export function formatFailure (failure: CliFailure): string {
  switch (failure.tag) {
    case 'usage':
    case 'notFound': return failure.message
    case 'unreadableFile': return `${failure.file}: ${failure.message}`
    case 'invalidSettings': return parseSettings.formatSettingsErrors(failure.errors)
    case 'refused': return `refused: ${failure.message}`
    case 'unavailable': return `${failure.part} not available: ${failure.message}`
    case 'unknownFate': return `not known whether the change was accepted: ${failure.message}`
    default: return errors.assertNever(failure)
  }
}
