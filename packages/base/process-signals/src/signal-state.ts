/** State machine of a process's signals: they may arrive repeatedly and in any state. */

/** The signals that are handled: SIGTERM and SIGINT shut the process down, SIGHUP reloads its settings. */
export type HandledSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP'

/** State of the process. */
export type SignalState =
  /** The process does not serve yet. */
  | { readonly type: 'starting', readonly isReloadRequested: boolean }
  | { readonly type: 'running' }
  | { readonly type: 'ending' }

/** What to do after a signal or after the start. */
export type SignalAction =
  | { readonly type: 'none' }
  /** Nothing is in flight: the process may exit at once. */
  | { readonly type: 'exit' }
  | { readonly type: 'end' }
  | { readonly type: 'reload' }
  /** The process is already shutting down; requests in flight still complete. */
  | { readonly type: 'ignore' }

/** The next state, and the action to take. */
export interface SignalStep {
  readonly state: SignalState
  readonly action: SignalAction
}

export const initialState: SignalState = { type: 'starting', isReloadRequested: false }

/** Returns the step that a signal causes. */
export function onSignal (state: SignalState, signal: HandledSignal): SignalStep {
  switch (state.type) {
    case 'starting': return onSignalWhileStarting(state, signal)
    case 'running': return signal === 'SIGHUP' ? { state, action: { type: 'reload' } } : { state: { type: 'ending' }, action: { type: 'end' } }
    case 'ending': return { state, action: { type: 'ignore' } }
  }
}

function onSignalWhileStarting (state: SignalState, signal: HandledSignal): SignalStep {
  if (signal === 'SIGHUP') return { state: { type: 'starting', isReloadRequested: true }, action: { type: 'none' } }
  return { state, action: { type: 'exit' } }
}

/** The process serves from now on; the action is a reload if one was requested during the start. */
export function onStarted (state: SignalState): SignalStep {
  const isReloadRequested = state.type === 'starting' && state.isReloadRequested
  return { state: { type: 'running' }, action: { type: isReloadRequested ? 'reload' : 'none' } }
}
