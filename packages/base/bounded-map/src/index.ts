/** A map that holds so many entries at most. */
export * from './bounded-map.js'
