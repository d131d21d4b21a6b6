/** Decides the order in which waiting calls run. */
export {}
