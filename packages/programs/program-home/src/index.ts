/** The home of a program: order, budget, dispatch, takeover and release. */
export type * from './ports.js'
export * from './program-home.js'
