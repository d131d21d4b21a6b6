/** Fixtures that tests share. */
export * from './eventually.js'
export * from './free-port.js'
export * from './spawn-process.js'
export * from './start-stand-ins.js'
export * from './start-system.js'
export type * from './test-scope.js'
export * from './seeded.js'
export * from './leave-without-cleanup.js'
