/**
 * Admission of new programs by how full the engines are now. It answers a burst: engines take turns in the order of
 * their arrival, so that without it every program under way waits behind the first turns of new ones, and all of them
 * finish late together.
 *
 * What binds differs: slots, or the memory of the engines and the steps that slow with use, long before slots are full.
 * Figures from a model of a burst of 1.9 times the usual load (96 slots, programs of three turns, loads heard 800 ms
 * late), as the share of programs in time beyond what it is without admission: 0.20 where slots bind, and 0.20 where
 * memory holds the prompts of 58 programs. From 1.1 to 1.6 of the slots it was 0.28 and 0.07.
 */

/** What one decision depends on. */
export interface LoadAdmissionInput {
  /** Turns at the engines, those that wait there included, as a share of their slots. */
  readonly load: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Up to this load every program is admitted. In calm hours the model refuses nobody for good from 0.6 on, one in ten is late from 0.45 on. */
const freeLoad = 0.6
/** From this load on hardly any new program is: all slots are used, and what comes now waits. */
const fullLoad = 1.1
/** What is still admitted then: loads may only be believed. In the model none at all gave 0.03 less worth. */
const leastChance = 0.05

/**
 * When a refused program may come back, in ms: its time to spare is about half a second. In the model 500 and 1,200 gave
 * less worth than 300, and so did any preference for programs that came back: they can no longer finish in time.
 */
export const loadRetryMs = 300

/** Whether a new program is admitted. */
export function admitByLoad (input: LoadAdmissionInput): boolean {
  const chance = (fullLoad - input.load) / (fullLoad - freeLoad)
  return input.random() < Math.max(leastChance, chance)
}
