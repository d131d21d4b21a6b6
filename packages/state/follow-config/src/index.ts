/** Follows the configuration stream and keeps the version in force. */
export * from './config-follower.js'
