/** Assigns programs to home hosts, and tasks to owners, by rendezvous hashing. */
export * from './rendezvous.js'
export * from './home-chooser.js'
