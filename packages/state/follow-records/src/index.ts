/**
 * Follows a keyed partition: a snapshot of the newest records, then every change in order; a new snapshot if changes
 * were missed.
 */
export * from './record-follower.js'
