/** The operator's command line. */
export * from './run-cli.js'
export * from './base/base-command.js'
export * from './base/exit-code.js'
export * from './base/operator-settings.js'
export * from './base/outcome.js'
