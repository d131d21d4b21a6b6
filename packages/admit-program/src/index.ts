/** Decides whether a new program is admitted. */
export {}
