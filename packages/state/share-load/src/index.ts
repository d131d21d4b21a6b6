/** Tells the other processes by datagrams what this one has running at each upstream and what went wrong there. */
export * from './load-message.js'
export * from './load-sharer.js'
