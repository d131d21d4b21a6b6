/** Catches the signals of this process and calls the handlers of its program once it has started. */
import * as states from './signal-state.js'

/** What a program does on signals. */
export interface SignalHandlers {
  /** Shut down gracefully. Called once, however many signals arrive. */
  readonly onShutdown: (signal: states.HandledSignal) => void
  /** Reload the settings. */
  readonly onReload: () => void
  /** Another signal arrived during the shutdown. */
  readonly onIgnored: (signal: states.HandledSignal) => void
}

/** The signals of this process. */
export interface ProcessSignals {
  /** Call once, when the program starts to serve; calls `onReload` if a reload was requested before. */
  readonly setHandlers: (handlers: SignalHandlers) => void
}

const handledSignals: readonly states.HandledSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP']

/**
 * Starts to catch signals. Call it before anything else is loaded: until then a signal has its default action and ends
 * the process, also the one that requests a reload.
 */
export function catchSignals (): ProcessSignals {
  let state = states.initialState
  let handlers: SignalHandlers | undefined

  function applyStep ({ state: next, action }: states.SignalStep, signal: states.HandledSignal): void {
    state = next
    switch (action.type) {
      case 'none': return
      case 'exit': return process.exit()
      case 'end': return handlers?.onShutdown(signal)
      case 'reload': return handlers?.onReload()
      case 'ignore': return handlers?.onIgnored(signal)
    }
  }

  for (const signal of handledSignals) process.on(signal, () => { applyStep(states.onSignal(state, signal), signal) })
  return {
    setHandlers (newHandlers) {
      handlers = newHandlers
      applyStep(states.onStarted(state), 'SIGHUP')
    }
  }
}
