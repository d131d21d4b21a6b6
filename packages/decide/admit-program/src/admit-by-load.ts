/**
 * Admission of new programs by how full the engines are now. It answers a burst: engines take turns in the order of
 * their arrival, so that without it every program under way waits behind the first turns of new ones, and all of them
 * finish late together.
 *
 * What binds differs: slots, or the memory of the engines and the steps that slow with use, long before slots are full.
 * Where memory binds, a few programs more make all of them read their prompts again; where slots bind, a program that is
 * refused at its start loses more of its time than it would by waiting for a slot.
 */

/** What one decision depends on. */
export interface LoadAdmissionInput {
  /** Turns at the engines, those that wait there included, as a share of their slots. */
  readonly load: number
  /** The memory of the engines holds what runs in all their slots. */
  readonly holdsAllSlots: boolean
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Loads between which the chance of a new program falls from 1 to nearly 0, as shares of the slots. */
interface LoadRange {
  readonly lower: number
  readonly upper: number
}

const memoryBoundRange: LoadRange = { lower: 0.6, upper: 1.1 }
const slotBoundRange: LoadRange = { lower: 0.9, upper: 1.5 }
/** What is still admitted then: loads may only be believed. */
const minProbability = 0.05

/** When a refused program may come back, in ms: its time to spare is about half a second. */
export const loadRetryMs = 300

/** Whether a new program is admitted. */
export function admitByLoad ({ load, holdsAllSlots, random }: LoadAdmissionInput): boolean {
  const { lower, upper } = holdsAllSlots ? slotBoundRange : memoryBoundRange
  const probability = (upper - load) / (upper - lower)
  return random() < Math.max(minProbability, probability)
}
