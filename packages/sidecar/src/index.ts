/** The process beside each upstream host. */
export {}
