/** Small stand-ins of the platform and the upstreams, with faults to switch on. */
export * from './faults.js'
export * from './log-stand-in.js'
export * from './host-list-stand-in.js'
export * from './engine-stand-in.js'
export * from './engine-text.js'
export * from './service-stand-in.js'
export * from './weight-store-stand-in.js'
export type { EngineControl, EngineFault, EngineSettings } from './engine-messages.js'
