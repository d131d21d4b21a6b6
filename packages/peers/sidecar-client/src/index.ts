/** RPC protocol between the processes of the system, on connect-es. */
export * from './handlers.js'
export * from './peer-client.js'
export * from './peer-pool.js'
export * from './peer-server.js'
