/** Catches the signals of this process and tells its program of them once that has started. */
import * as states from './signal-state.js'

export interface SignalHandlers {
  /** Ends the process gracefully. Called once, however many signals come. */
  readonly onShutdown: (signal: states.HandledSignal) => void
  /** Reads the settings again. */
  readonly onReload: () => void
  /** Another signal came while the process was ending. */
  readonly onIgnored: (signal: states.HandledSignal) => void
}

export interface ProcessSignals {
  /** Call once, when the program has something to lose; tells of a reload that was asked for before. */
  readonly setHandlers: (handlers: SignalHandlers) => void
}

const signals: readonly states.HandledSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP']

/**
 * Call before anything else is loaded: until a handler is set, a signal ends the process by its default action,
 * also the one that asks for a reload.
 */
export function catchSignals (): ProcessSignals {
  let state = states.firstState
  let handlers: SignalHandlers | undefined

  function take ({ state: next, action }: states.SignalStep, signal: states.HandledSignal): void {
    state = next
    switch (action.type) {
      case 'none': return
      case 'exit': return process.exit()
      case 'end': return handlers?.onShutdown(signal)
      case 'reload': return handlers?.onReload()
      case 'ignore': return handlers?.onIgnored(signal)
    }
  }

  for (const signal of signals) process.on(signal, () => { take(states.onSignal(state, signal), signal) })
  return {
    setHandlers (given) {
      handlers = given
      take(states.onStarted(state), 'SIGHUP')
    }
  }
}
