/** Picks the home of a program by rendezvous hashing. */
export {}
