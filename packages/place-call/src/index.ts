/** Decides which engine or service host takes the next call. */
export {}
