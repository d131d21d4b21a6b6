/** The protocol between the system's own processes, by connect-es. */
export * from './handlers.js'
export * from './peer-client.js'
export * from './peer-pool.js'
export * from './peer-server.js'
