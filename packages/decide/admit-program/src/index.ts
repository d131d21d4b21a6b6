/** Admission control: decides whether a new program may start. */
export * from './decide-admission.js'
export * from './usable-slots.js'
export * from './mean-utilization.js'
export * from './admit-by-load.js'
