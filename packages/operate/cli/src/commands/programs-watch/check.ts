/** What `programs watch` was asked for. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as outcome from '../../base/outcome.js'
import * as programId from '../program-id.js'

export interface WatchRequest {
  /** Only this program, until it has finished. */
  readonly program: types.ProgramId | undefined
  readonly intervalMs: number
  readonly looks: number
}

const minIntervalMs = 100
const maxIntervalMs = 3_600_000

function usage<T> (message: string): errors.Result<T, outcome.CliFailure> {
  return errors.fail({ tag: 'usage', message })
}

export function checkRequest (options: { readonly program: string | undefined, readonly interval: string, readonly looks: string | undefined }): errors.Result<WatchRequest, outcome.CliFailure> {
  const intervalMs = Number(options.interval) * 1000
  if (!(intervalMs >= minIntervalMs && intervalMs <= maxIntervalMs)) return usage(`--interval: expected 0.1 to 3600 seconds, found ${JSON.stringify(options.interval)}`)
  const looks = options.looks === undefined ? Infinity : Number(options.looks)
  if (!(looks >= 1)) return usage(`--looks: expected 1 or more, found ${JSON.stringify(options.looks)}`)
  if (options.program === undefined) return errors.ok({ program: undefined, intervalMs, looks })
  const program = programId.checkProgramId(options.program)
  return program.ok ? errors.ok({ program: program.value, intervalMs, looks }) : program
}
