/** Where another upstream may continue a stream that broke off. */

/** Point in a stream that a further run may continue from. */
export type ResumePoint =
  /** No event is complete: the stream may begin anew. */
  | { readonly type: 'start' }
  | { readonly type: 'after', readonly eventId: string }
  /** A further run could repeat or skip events. */
  | { readonly type: 'never' }

/** Values that a header carries unchanged: without control characters, and without spaces at their ends, which readers remove. */
const headerSafePattern = /^[\x21-\x7e\x80-\xff](?:[\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/

/** Finds the point after the last complete event. `lastEventId`: its id, one character for each byte; `undefined` if it had none. */
export function findResumePoint (eventCount: number, lastEventId: string | undefined): ResumePoint {
  if (eventCount === 0) return { type: 'start' }
  if (lastEventId === undefined || !headerSafePattern.test(lastEventId)) return { type: 'never' }
  return { type: 'after', eventId: lastEventId }
}
