/** Keeps what belongs to one client account apart from all others. */
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as dialects from './dialect.js'

/** The attempt with its program named within the account of its caller: a budget or a history is never shared by two accounts. */
export function scopeAttempt (attempt: dialects.ClientAttempt, caller: identifyClient.Caller): dialects.ClientAttempt {
  const { program, turn } = attempt
  return {
    ...attempt,
    program: program === undefined ? undefined : identifyClient.scopeProgramId(caller, program),
    turn: turn === undefined ? undefined : { ...turn, program: identifyClient.scopeProgramId(caller, turn.program) }
  }
}
