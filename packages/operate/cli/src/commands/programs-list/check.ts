/** Which programs `programs list` was asked for. */
import * as errors from '@eelgrasswind/errors'
import type * as outcome from '../../base/outcome.js'

/** States that a filter may name; a late program runs past its deadline. */
export const programStates = ['running', 'late', 'finished'] as const
export type ProgramFilterState = typeof programStates[number]

export interface ProgramFilter {
  readonly client: string | undefined
  readonly kind: string | undefined
  readonly state: ProgramFilterState | undefined
}

export function checkFilter (options: { readonly client: string | undefined, readonly kind: string | undefined, readonly state: string | undefined }): errors.Result<ProgramFilter, outcome.CliFailure> {
  const { client, kind } = options
  const state = programStates.find((one) => one === options.state)
  if (options.state !== undefined && state === undefined) return errors.fail({ tag: 'usage', message: `--state: expected ${programStates.join(' or ')}, found ${JSON.stringify(options.state)}` })
  return errors.ok({ client, kind, state })
}
