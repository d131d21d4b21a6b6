/** The operator's command line. */
export {}
