/** Parses and validates JSON with comments; every error has its file, line, column and field. */
export * from './settings-error.js'
export * from './field-errors.js'
export * from './parse-settings.js'
export * from './describe-schema.js'
