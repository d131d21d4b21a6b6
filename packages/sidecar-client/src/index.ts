/** The protocol between the system's own processes, by connect-es. */
export {}
