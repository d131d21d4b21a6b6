/** Tells the story of one request from the log lines of several processes, in order of time. */
export * from './explain-request.js'
