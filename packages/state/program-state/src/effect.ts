/** The result of applying one journal record. */

/** Why a record has no effect. */
export type VoidReason =
  /** A duplicate of a record that was applied before, or another record whose sequence number is taken. */
  | 'duplicate'
  /** Written by a home that a newer claim has superseded. */
  | 'olderTerm'
  /** A begin or claim that the log appended after another one for the same sequence number. */
  | 'lostRace'
  /** The sequence number is higher than the next one of the program's chain. */
  | 'outOfOrder'
  /** The term is higher than the current one, so this reader has not seen it start. */
  | 'unknownTerm'
  /** Belongs to a program that never began, or that had no record for so long that readers may have dropped it. */
  | 'unknownProgram'
  /** The program has finished. */
  | 'finished'
  /** A begin that the log appended too long after it was written. */
  | 'staleBegin'
  /** The sequence number of the call is not the next one of its branch. */
  | 'wrongSeq'
  /** A finished call or an open intent has the same request key. */
  | 'keyUsed'
  /** Another call of the branch has an open intent. */
  | 'intentOpen'
  /** A settle whose key has no open intent. */
  | 'noIntent'
  /** A turn whose key has an open intent for another call. */
  | 'intentMismatch'

/** Whether a record took effect. */
export type Effect =
  | { readonly type: 'applied' }
  | { readonly type: 'void', readonly reason: VoidReason }
  /** The reader can't decide, because older records of the program have expired or contradict the record. */
  | { readonly type: 'incomplete' }

export const applied: Effect = { type: 'applied' }
export const incomplete: Effect = { type: 'incomplete' }

export function createVoidEffect (reason: VoidReason): Effect {
  return { type: 'void', reason }
}
