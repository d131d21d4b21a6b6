/** Follows the newest records of a keyed partition: every change in order, and a whole reading where some were missed. */
export * from './record-follower.js'
