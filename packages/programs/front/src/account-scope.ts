/** Isolates the programs of one client account from those of all other accounts. */
import * as identifyClient from '@eelgrasswind/identify-client'
import type * as dialects from './dialect.js'

/** Scopes the program id of an attempt to the caller's account, so that two accounts never share a budget or a history. */
export function scopeAttempt (attempt: dialects.ClientAttempt, caller: identifyClient.Caller): dialects.ClientAttempt {
  const { program, turn } = attempt
  return {
    ...attempt,
    program: program === undefined ? undefined : identifyClient.scopeProgramId(caller, program),
    turn: turn === undefined ? undefined : { ...turn, program: identifyClient.scopeProgramId(caller, turn.program) }
  }
}
