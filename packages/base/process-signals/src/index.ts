/** Handles the signals of a process from its first statement on. */
export * from './process-signals.js'
export * from './signal-state.js'
