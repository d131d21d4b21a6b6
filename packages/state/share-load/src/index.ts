/** Reports the load of this process to the others by UDP: requests in flight and failed or slow requests at each upstream. */
export * from './load-message.js'
export * from './load-sharer.js'
