/** Clock and timers behind one interface: those of the process, and manual ones for tests. */
export * from './timer-service.js'
export * from './real-timers.js'
export * from './manual-timers.js'
