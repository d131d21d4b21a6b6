/** Fakes of engines under a manual clock, to compare decision rules over many seeds. */
export {}
