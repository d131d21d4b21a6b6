/**
 * Admission control by the current load of the engines, for bursts. Engines process turns in order of arrival: without
 * admission control, running programs queue behind the first turns of new ones, and all of them miss their deadlines.
 *
 * The limiting resource is either the slots, or, long before all slots are used, the cache memory and the batch steps
 * that slow down with load. If memory is the limit, a few more programs evict the cached prompts of all others; if slots
 * are the limit, a refused program loses more time than it would by waiting for a slot.
 */

/** Input of one decision. */
export interface LoadAdmissionInput {
  /** Running and queued turns at the engines, as a share of their slots. */
  readonly load: number
  /** Whether the cache memory is large enough for the prompts of all slots. */
  readonly holdsAllSlots: boolean
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Loads between which the admission probability falls from 1 to nearly 0, as shares of the slots. */
interface LoadRange {
  readonly lower: number
  readonly upper: number
}

const memoryBoundRange: LoadRange = { lower: 0.6, upper: 1.1 }
const slotBoundRange: LoadRange = { lower: 0.9, upper: 1.5 }
/** Minimum admission probability, since the known load may be wrong. */
const minProbability = 0.05

/** Retry-after time of a refused program, in ms; a program has about half a second to spare. */
export const loadRetryMs = 300

/** Whether a new program is admitted; random, with a probability that falls with the load. */
export function admitByLoad ({ load, holdsAllSlots, random }: LoadAdmissionInput): boolean {
  const { lower, upper } = holdsAllSlots ? slotBoundRange : memoryBoundRange
  const probability = (upper - load) / (upper - lower)
  return random() < Math.max(minProbability, probability)
}
