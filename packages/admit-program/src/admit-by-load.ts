/**
 * Admission of new programs by how full the engines are now. It answers a burst: engines take turns in the order of
 * their arrival, so that without it every program under way waits behind the first turns of new ones, and all of them
 * finish late together.
 */

/** What one decision depends on. */
export interface LoadAdmissionInput {
  /** Turns at the engines, those that wait there included, as a share of their slots. */
  readonly load: number
  /** How often the program was told to come back before. */
  readonly comeBacks: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Up to this load every program is admitted: nothing waits while slots are free. */
const freeLoad = 0.9
/**
 * From this load on hardly any new program is: a turn then waits for 0.4 of the time of another, and programs have half
 * of their time to spare. In a model of three bursts with loads heard 400 ms late, 0.55 of the programs were in time with
 * this limit, 0.53 with 1.2 and 0.50 with 1.1 and 1.0.
 */
const fullLoad = 1.4
/** What is still admitted then, so that nobody is shut out by load that is only believed. */
const leastChance = 0.05

/**
 * When a refused program may come back, in ms: soon enough to finish in time where the burst ends, late enough that its
 * six tries outlast one of 3 s.
 */
export const loadRetryMs = 500

/** Whether a new program is admitted; those that came back are preferred to those that are new. */
export function admitByLoad (input: LoadAdmissionInput): boolean {
  const chance = Math.max(leastChance, Math.min(1, (fullLoad - input.load) / (fullLoad - freeLoad)))
  return input.random() < chance ** (1 / (1 + input.comeBacks))
}
