/** The one source of time: a real clock and a manual one that parts subscribe to. */
export * from './timer-service.js'
export * from './real-timers.js'
export * from './manual-timers.js'
