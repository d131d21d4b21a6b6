/** Client of the callers' HTTP interface, for tests, load and programs written in TypeScript. */
export * from './answers.js'
export * from './caller-client.js'
