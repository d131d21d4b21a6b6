/** Metrics by hot-shots over UDP. */
export {}
