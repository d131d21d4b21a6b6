/** Client of the platform's rate-limited weight store. */
export {}
