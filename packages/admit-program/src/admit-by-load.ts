/**
 * Admission of new programs by how full the engines are now. It answers a burst: engines take turns in the order of
 * their arrival, so that without it every program under way waits behind the first turns of new ones, and all of them
 * finish late together.
 *
 * Figures from a model of four bursts (96 slots, programs of three turns, 1.4 to 2 times what the slots can do, loads
 * heard 800 ms late): worth of the programs, 1 in time and 0.3 late, was 0.39, 0.79, 0.57 and 0.20 without admission
 * and 0.62, 0.78, 0.63 and 0.41 with it.
 */

/** What one decision depends on. */
export interface LoadAdmissionInput {
  /** Turns at the engines, those that wait there included, as a share of their slots. */
  readonly load: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Up to this load every program is admitted: nothing waits while slots are free. In the model 0.9 gave 0.02 less worth. */
const freeLoad = 1.1
/** From this load on hardly any new program is. In the model 1.3 gave 0.03 less worth: slots ran empty while loads were heard late. */
const fullLoad = 1.6
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
