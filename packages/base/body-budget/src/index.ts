/** A budget of bytes that the request bodies of a process share. */
export * from './body-budget.js'
