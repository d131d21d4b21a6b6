/** What HTTP statuses say. */

/** Whether a status means that the peer did not run the request and that it may be retried later. */
export function isRefusal (status: number): boolean {
  return status === 429 || status === 503
}

/** Whether a status means that the request succeeded. */
export function isSuccess (status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300
}
