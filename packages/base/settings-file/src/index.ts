/** Reads a settings file, and waits for one that is missing or being written. */
export * from './await-settings.js'
export * from './classify-settings.js'
