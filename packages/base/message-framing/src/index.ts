/** How the end of an HTTP answer is marked, and whether it has arrived whole. */
export * from './message-framing.js'
export * from './byte-list.js'
export * from './block-pool.js'
export * from './pooled-byte-list.js'
