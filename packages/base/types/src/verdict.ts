/** What is known about whether a failed request ran. */
export type Verdict =
  /** It did not run, and will not. */
  | 'notRun'
  /** It may have run, or may still run. */
  | 'mayHaveRun'
  /** It ran; only its answer, or part of it, is missing or unusable. */
  | 'ran'
