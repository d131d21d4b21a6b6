/** Starts servers on their ports, and waits while a port is taken. */
export * from './listen-server.js'
