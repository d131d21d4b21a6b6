/** How urgent a turn is to an engine that has more to do than it has slots. */

/** What the urgency depends on. */
export interface TurnUrgencyInput {
  /** The turn begins a chain. */
  readonly first: boolean
  /** Time until the program should be finished, in ms; `undefined` where it was not named. */
  readonly finishMs: number | undefined
}

/** Ranks from 0, the most urgent, to 9; 5 is what engines take where none is named. */
const underWay = 3
const starting = 5
const lateAnyway = 7
/** A turn takes about 150 ms on an idle engine: with less than this left, in ms, its program ends late whatever is done. */
const hopelessMs = 60

/**
 * Programs under way before those that begin: they have used engines already, and one late turn makes all of it late.
 * A program that will be late in any case goes last, since it loses nothing more by another tenth of a second.
 */
export function turnUrgency ({ first, finishMs }: TurnUrgencyInput): number {
  if (finishMs !== undefined && finishMs < hopelessMs) return lateAnyway
  return first ? starting : underWay
}
