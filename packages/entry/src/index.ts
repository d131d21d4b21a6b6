/** The entry process: HTTP to callers, forwarding to each program's home. */
export {}
