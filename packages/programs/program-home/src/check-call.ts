/** Whether a call may run now, or is answered by what already is. */
import type * as errors from '@eelgrasswind/errors'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as local from './local-program.js'
import type * as runningCalls from './running-call.js'

export type CallCheck =
  | { readonly type: 'run' }
  /** Asked before and finished. */
  | { readonly type: 'finished', readonly turn: types.Turn }
  /** Asked before and still under way. */
  | { readonly type: 'join', readonly running: runningCalls.RunningCall }
  /** Asked before at an earlier home; what became of it is being found out. */
  | { readonly type: 'openIntent' }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

const inProgressRetryMs = 500

export function checkCall (program: local.LocalProgram, call: types.Call, digest: string): CallCheck {
  const { state } = program
  if (state.start.client !== call.client) return refuse({ tag: 'unknownProgram', verdict: 'notRun', message: `client ${call.client} has no program ${call.program}` })
  const turn = programState.findTurn(state, call.key)
  if (turn !== undefined) return turn.digest === digest ? { type: 'finished', turn } : refuse(keyReused(call))
  const running = program.running.get(call.key)
  if (running !== undefined) return running.digest === digest ? { type: 'join', running } : refuse(keyReused(call))
  const intent = programState.findIntent(state, call.key)
  if (intent !== undefined) return intent.digest === digest ? { type: 'openIntent' } : refuse(keyReused(call))
  return checkNew(program, call)
}

function checkNew (program: local.LocalProgram, call: types.Call): CallCheck {
  const { finished } = program.state
  if (finished !== null) return refuse({ tag: 'programFinished', verdict: 'notRun', message: `the program has ended: ${finished}`, result: finished })
  if (program.releasing) return refuse({ tag: 'notHome', verdict: 'notRun', message: 'the program is moving to another home', home: null, retryAfterMs: inProgressRetryMs })
  const expectedSeq = programState.getNextSeq(program.state, call.branch)
  const underWay = callUnderWay(program, call.branch)
  // An open intent counts as a place that is used, also while its end is being found out: the next place belongs to nobody.
  if (underWay !== undefined && underWay.seq < call.seq) return refuse(sequenceGap(call, underWay.seq))
  if (call.seq > expectedSeq) return refuse(sequenceGap(call, expectedSeq))
  if (call.seq < expectedSeq || underWay !== undefined) {
    return refuse({ tag: 'sequenceRepeat', verdict: 'notRun', message: `place ${call.seq} of branch ${call.branch} belongs to another call`, expectedSeq })
  }
  return { type: 'run' }
}

/** An earlier call of the branch is missing, or has not ended. */
function sequenceGap (call: types.Call, expectedSeq: number): errors.Failure {
  return { tag: 'sequenceGap', verdict: 'notRun', message: `branch ${call.branch} expects ${expectedSeq}`, expectedSeq }
}

/**
 * The call of the branch that is under way. One that stands in the history has its answer: its caller may have it
 * from there and send the next call while this process still waits to hear that the record is stored.
 */
function callUnderWay (program: local.LocalProgram, branch: types.BranchId): types.Call | undefined {
  for (const { call: other } of program.running.values()) {
    if (other.branch === branch && programState.findTurn(program.state, other.key) === undefined) return other
  }
  return undefined
}

function refuse (failure: errors.Failure): CallCheck {
  return { type: 'refuse', failure }
}

function keyReused (call: types.Call): errors.Failure {
  return { tag: 'keyReused', verdict: 'notRun', message: `key ${call.key} was used for another request` }
}

/** The end of a call that stands in the history. */
export function endOfTurn (turn: types.Turn, repeated: boolean): types.CallEnd {
  const { key, branch, seq, outcome, tokens, usage, upstream } = turn
  return { key, branch, seq, outcome, tokens, usage, upstream, repeated }
}
