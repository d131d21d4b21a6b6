/** Starts the whole system on embedded stand-ins and runs one kit order program. */
export * from './kit-order.js'
