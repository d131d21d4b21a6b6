/** Rate limiting of client accounts by whole programs: the state of the owner of an account and of the hosts that report to it. Pure. */
export * from './account-meter.js'
export * from './account-floor.js'
export * from './group-meter.js'
export * from './host-share.js'
export * from './meter-tenure.js'
