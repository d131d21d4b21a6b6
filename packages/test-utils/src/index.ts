/** Fixtures that tests share. */
export {}
