/** Sums up what went wrong for clients, from the log lines of a fleet. Pure. */
export * from './loss-finder.js'
