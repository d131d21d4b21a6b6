/** What applying one journal record came to. */

/** Why a record has no effect. */
export type VoidReason =
  /** A second copy of a record that was applied before, or another record at a place that is taken. */
  | 'duplicate'
  /** Written by a home that a newer claim has superseded. */
  | 'olderTerm'
  /** A begin or claim that came after another one for the same place. */
  | 'lostRace'
  /** Ahead of the next place in the program's chain. */
  | 'outOfOrder'
  /** Names a term that this reader never saw begin. */
  | 'unknownTerm'
  /** Belongs to a program that never began, or that had no record for so long that readers may have forgotten it. */
  | 'unknownProgram'
  | 'finished'
  /** A begin that the log took too long after it was written. */
  | 'staleBegin'
  /** The sequence number is not the next one of its branch. */
  | 'wrongSeq'
  | 'keyUsed'
  /** Another call of the branch has an open intent. */
  | 'intentOpen'
  /** A settle, where no intent is open under its key. */
  | 'noIntent'
  /** A turn under the key of an open intent that was for another call. */
  | 'intentMismatch'

export type Effect =
  | { readonly type: 'applied' }
  | { readonly type: 'void', readonly reason: VoidReason }
  /** The reader can't tell, as older records of the program have expired or contradict the record. */
  | { readonly type: 'incomplete' }

export const applied: Effect = { type: 'applied' }
export const incomplete: Effect = { type: 'incomplete' }

export function voided (reason: VoidReason): Effect {
  return { type: 'void', reason }
}
