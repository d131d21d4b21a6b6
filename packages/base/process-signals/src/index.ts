/** Handles the signals of a process from its first statement on, also while the program is still loading. */
export * from './process-signals.js'
export * from './signal-state.js'
