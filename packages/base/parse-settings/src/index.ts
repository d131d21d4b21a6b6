/** Reads JSON with comments against a schema; every error names file, line, column and field. */
export * from './settings-error.js'
export * from './field-errors.js'
export * from './parse-settings.js'
export * from './describe-schema.js'
