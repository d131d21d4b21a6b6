/** A map with a maximum size. */
export * from './bounded-map.js'
