/** Counts the requests of a client account against its limit, in whole programs: the owner's side and the hosts' side. Pure. */
export * from './account-meter.js'
export * from './meter-book.js'
export * from './account-belief.js'
