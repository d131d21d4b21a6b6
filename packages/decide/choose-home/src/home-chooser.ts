/** Which host is the first to ask for a program, and which one owns a task that one process should do for many. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as rendezvous from './rendezvous.js'

/** Hosts that `rankHomes` names unless told otherwise: the home and those to try after it. */
export const defaultRankCount = 3

/** A task that one host does for many; a wrong guess costs a message, never correctness. */
export type OwnedTask =
  /** Hands out the shares of a client's limit. */
  | { readonly type: 'clientLimit', readonly client: types.ClientId }
  /** Appends the records of a shard of the journal. */
  | { readonly type: 'journalShard', readonly shard: number }
  /** Collects the load reports of an availability zone. */
  /** Writes a copy of the configuration before its records expire; another process in each round. */
  | { readonly type: 'configCopy', readonly round: number }
  | { readonly type: 'loadReporter', readonly availabilityZone: types.AvailabilityZoneId }

/**
 * All functions depend on the set of hosts alone, not on its order. Hashes of a list are kept by the identity
 * of its array: pass the same array until the membership changes.
 */
export interface HomeChooser {
  /** The home of a program among the live sidecars beside model engines of a region; undefined for an empty list. */
  findHome: (program: types.ProgramId, hosts: readonly types.HostId[]) => types.HostId | undefined
  /** The home and the hosts that would be home next, were the ones before them lost. */
  rankHomes: (program: types.ProgramId, hosts: readonly types.HostId[], count?: number) => types.HostId[]
  /** The owner of a task; undefined for an empty list. */
  findOwner: (task: OwnedTask, hosts: readonly types.HostId[]) => types.HostId | undefined
}

/** The key that a task is hashed by; the prefix keeps kinds of task apart. */
function createTaskKey (task: OwnedTask): string {
  switch (task.type) {
    case 'clientLimit': return `client:${task.client}`
    case 'journalShard': return `shard:${task.shard}`
    case 'configCopy': return `config:${task.round}`
    case 'loadReporter': return `reporter:${task.availabilityZone}`
    default: return errors.unreachable(task)
  }
}

/** Loads the hash function; every process with the same list of hosts then computes the same homes. */
export async function createHomeChooser (): Promise<HomeChooser> {
  const ranking = await rendezvous.createRendezvous()
  return {
    findHome: (program, hosts) => ranking.findBest(`program:${program}`, hosts),
    rankHomes: (program, hosts, count = defaultRankCount) => ranking.rank(`program:${program}`, hosts, count),
    findOwner: (task, hosts) => ranking.findBest(createTaskKey(task), hosts)
  }
}
