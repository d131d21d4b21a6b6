/** Measures what each role costs per entry of its state. */
export * from './fit.js'
export * from './series.js'
