/** Ids that a command line names. */
import * as errors from '@eelgrasswind/errors'
import * as types from '@eelgrasswind/types'
import type * as outcome from '../base/outcome.js'

const expected = 'an id: letters, digits and . _ ~ -, at most 128'

export function checkProgramId (text: string): errors.Result<types.ProgramId, outcome.CliFailure> {
  if (types.isId(text)) return errors.ok(text as types.ProgramId)
  return errors.fail({ tag: 'usage', message: `PROGRAM: expected ${expected}, found ${JSON.stringify(text)}` })
}

export function checkRequestKey (text: string | undefined): errors.Result<types.RequestKey | null, outcome.CliFailure> {
  if (text === undefined) return errors.ok(null)
  if (types.isId(text)) return errors.ok(text as types.RequestKey)
  return errors.fail({ tag: 'usage', message: `KEY: expected ${expected}, found ${JSON.stringify(text)}` })
}

export function notListed (program: types.ProgramId, silent: readonly types.HostId[]): outcome.CliFailure {
  const rest = silent.length === 0 ? '' : `; ${silent.join(', ')} did not answer`
  return { tag: 'notFound', message: `no sidecar is the home of ${program}${rest}` }
}
