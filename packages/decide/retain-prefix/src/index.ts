/** Decides how long a program's cached prefix is held in the engine's cache during a tool pause. */
export * from './decide-hold.js'
export * from './learn-pauses.js'
export * from './eviction-age.js'
