/** Finds the home host of a program and the owner of a task that one process does for many. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as rendezvous from './rendezvous.js'

/** Default number of hosts that `rankHomes` returns: the home and the fallbacks after it. */
export const defaultRankCount = 3

/** A task that one host does for many. Disagreement about the owner costs a message, but never correctness. */
export type OwnedTask =
  /** Leases the shares of a client's limit. */
  | { readonly type: 'clientLimit', readonly client: types.ClientId }
  /** Appends the records of a shard of the journal. */
  | { readonly type: 'journalShard', readonly shard: number }
  /** Writes a copy of the configuration before its records expire; a different process in each round. */
  | { readonly type: 'configCopy', readonly round: number }
  /** Collects the load reports of an availability zone. */
  | { readonly type: 'loadReporter', readonly availabilityZone: types.AvailabilityZoneId }

/**
 * Finds homes and owners. All functions depend only on the set of hosts, not on its order. Hashes of a list are cached
 * by the identity of its array: pass the same array until the membership changes.
 */
export interface HomeChooser {
  /** The home of a program among the live sidecars next to model engines of a region; undefined for an empty list. */
  findHome: (program: types.ProgramId, hosts: readonly types.HostId[]) => types.HostId | undefined
  /** The home, followed by the hosts that would become the home if the ones before them failed. */
  rankHomes: (program: types.ProgramId, hosts: readonly types.HostId[], count?: number) => types.HostId[]
  /** The owner of a task; undefined for an empty list. */
  findOwner: (task: OwnedTask, hosts: readonly types.HostId[]) => types.HostId | undefined
}

/** The hash key of a task; the prefix separates the kinds of tasks. */
function createTaskKey (task: OwnedTask): string {
  switch (task.type) {
    case 'clientLimit': return `client:${task.client}`
    case 'journalShard': return `shard:${task.shard}`
    case 'configCopy': return `config:${task.round}`
    case 'loadReporter': return `reporter:${task.availabilityZone}`
    default: return errors.assertNever(task)
  }
}

/** Loads the hash function. Every process with the same set of hosts computes the same homes. */
export async function createHomeChooser (): Promise<HomeChooser> {
  const ranking = await rendezvous.createRendezvous()
  return {
    findHome: (program, hosts) => ranking.findBest(`program:${program}`, hosts),
    rankHomes: (program, hosts, count = defaultRankCount) => ranking.rank(`program:${program}`, hosts, count),
    findOwner: (task, hosts) => ranking.findBest(createTaskKey(task), hosts)
  }
}
