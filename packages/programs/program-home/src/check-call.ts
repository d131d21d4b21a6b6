/** Decides whether a call may run now, repeats an earlier call, or is refused. */
import type * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'
import type * as runningCalls from './running-call.js'

/** Outcome of the check. */
export type CallCheck =
  | { readonly type: 'run' }
  /** A repeat of a finished call. */
  | { readonly type: 'finished', readonly turn: types.Turn }
  /** A repeat of a call in flight. */
  | { readonly type: 'join', readonly runningCall: runningCalls.RunningCall }
  /** A repeat of a call that an earlier home dispatched; its outcome is not known yet. */
  | { readonly type: 'openIntent' }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

/** Retry-after time of calls to a program that is being released. */
const retryAfterMs = 500

/** Checks a call by its request key first, then by its sequence number. `digest` tells a repeat from a reused key. */
export function checkCall (program: local.LocalProgram, call: types.Call, digest: string): CallCheck {
  const { state } = program
  if (state.start.client !== call.client) return refuse({ tag: 'unknownProgram', verdict: 'notRun', message: `client ${call.client} has no program ${call.program}` })
  const turn = programState.findTurn(state, call.key)
  if (turn !== undefined) return turn.digest === digest ? { type: 'finished', turn } : refuse(createKeyReusedFailure(call))
  const runningCall = program.runningCalls.get(call.key)
  if (runningCall !== undefined) return runningCall.digest === digest ? { type: 'join', runningCall } : refuse(createKeyReusedFailure(call))
  const intent = programState.findIntent(state, call.key)
  if (intent !== undefined) return intent.digest === digest ? { type: 'openIntent' } : refuse(createKeyReusedFailure(call))
  return checkNewCall(program, call)
}

function checkNewCall (program: local.LocalProgram, call: types.Call): CallCheck {
  const { finished } = program.state
  if (finished !== null) return refuse({ tag: 'programFinished', verdict: 'notRun', message: `the program has finished: ${finished}`, result: finished })
  if (program.isReleasing) return refuse({ tag: 'notHome', verdict: 'notRun', message: 'the program is moving to another home', home: null, retryAfterMs })
  const expectedSeq = programState.getNextSeq(program.state, call.branch)
  const unfinishedCall = findUnfinishedCall(program, call.branch)
  // An open intent uses its sequence number, even while its outcome is being resolved. The next number is unused, so a
  // call with a higher one gets sequenceGap, not sequenceRepeat.
  if (unfinishedCall !== undefined && unfinishedCall.seq < call.seq) return refuse(createSequenceGapFailure(call, unfinishedCall.seq))
  if (call.seq > expectedSeq) return refuse(createSequenceGapFailure(call, expectedSeq))
  if (call.seq < expectedSeq || unfinishedCall !== undefined) {
    return refuse({ tag: 'sequenceRepeat', verdict: 'notRun', message: `sequence number ${call.seq} of branch ${call.branch} belongs to another call`, expectedSeq })
  }
  return { type: 'run' }
}

/** Failure for a call while an earlier call of its branch is missing or has not ended. */
function createSequenceGapFailure (call: types.Call, expectedSeq: number): errors.Failure {
  return { tag: 'sequenceGap', verdict: 'notRun', message: `branch ${call.branch} expects ${expectedSeq}`, expectedSeq }
}

/**
 * Returns the call of the branch that is in flight. A call whose turn is already in the history doesn't count: its
 * caller may have read the answer there and send the next call while this process still waits for the append to be
 * acknowledged.
 */
function findUnfinishedCall (program: local.LocalProgram, branch: types.BranchId): types.Call | undefined {
  for (const { call: other } of program.runningCalls.values()) {
    if (other.branch === branch && programState.findTurn(program.state, other.key) === undefined) return other
  }
  return undefined
}

function refuse (failure: errors.Failure): CallCheck {
  return { type: 'refuse', failure }
}

function createKeyReusedFailure (call: types.Call): errors.Failure {
  return { tag: 'keyReused', verdict: 'notRun', message: `key ${call.key} was used for another request` }
}

/** Builds the result of a call from its recorded turn. */
export function toCallEnd (turn: types.Turn, repeated: boolean): types.CallEnd {
  const { key, branch, seq, outcome, tokens, usage, upstream } = turn
  return { key, branch, seq, outcome, tokens, usage, upstream, repeated }
}
