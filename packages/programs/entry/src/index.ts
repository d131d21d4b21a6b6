/** The entry process. */
export * from './entry.js'
export * from './settings.js'
