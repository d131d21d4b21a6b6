/** Counts the requests of a client account against its limit, in whole programs: the owner's side and the hosts' side. Pure. */
export * from './account-meter.js'
export * from './meter-registry.js'
export * from './account-estimate.js'
