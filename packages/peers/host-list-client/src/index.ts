/** Client of the platform's host list. */
export * from './host-list-client.js'
export * from './create-host-list-client.js'
