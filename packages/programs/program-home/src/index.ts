/** The home of programs, the process that owns them: call order, budget, dispatch, takeover and release. */
export type * from './ports.js'
export * from './program-home.js'
