/** Rate limiting of client accounts by whole programs: the state of the owner of an account and of the hosts that report to it. Pure. */
export * from './account-meter.js'
export * from './meter-registry.js'
export * from './account-estimate.js'
export * from './meter-tenure.js'
