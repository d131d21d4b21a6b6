/** What a process does with a signal: signals come in series, and at any moment of its life. */

/** The signals that are handled: two that end the process, and one that has its settings read again. */
export type HandledSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP'

export type SignalState =
  /** Nothing is served yet. */
  | { readonly type: 'starting', readonly reloadAsked: boolean }
  | { readonly type: 'running' }
  | { readonly type: 'ending' }

export type SignalAction =
  | { readonly type: 'none' }
  /** Nothing is under way: the process may end at once. */
  | { readonly type: 'exit' }
  | { readonly type: 'end' }
  | { readonly type: 'reload' }
  /** The process is ending already; what is under way still ends. */
  | { readonly type: 'ignore' }

export interface SignalStep {
  readonly state: SignalState
  readonly action: SignalAction
}

export const firstState: SignalState = { type: 'starting', reloadAsked: false }

export function onSignal (state: SignalState, signal: HandledSignal): SignalStep {
  switch (state.type) {
    case 'starting': return whileStarting(state, signal)
    case 'running': return signal === 'SIGHUP' ? { state, action: { type: 'reload' } } : { state: { type: 'ending' }, action: { type: 'end' } }
    case 'ending': return { state, action: { type: 'ignore' } }
  }
}

function whileStarting (state: SignalState, signal: HandledSignal): SignalStep {
  if (signal === 'SIGHUP') return { state: { type: 'starting', reloadAsked: true }, action: { type: 'none' } }
  return { state, action: { type: 'exit' } }
}

/** The process serves from now on; a reload that was asked for meanwhile is due. */
export function onStarted (state: SignalState): SignalStep {
  const reloadAsked = state.type === 'starting' && state.reloadAsked
  return { state: { type: 'running' }, action: { type: reloadAsked ? 'reload' : 'none' } }
}
