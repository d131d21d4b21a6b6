/** Picks the home of a program by rendezvous hashing. */
export * from './rendezvous.js'
export * from './home-chooser.js'
