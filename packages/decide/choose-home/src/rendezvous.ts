/** Rendezvous hashing: every process with the same set of hosts gets the same ranking for a key, without a directory. */
import xxhash from 'xxhash-wasm'
import type * as types from '@eelgrasswind/types'

/** Seeds of the two 32-bit hashes of a host or a key; every process must use the same ones. */
const firstSeed = 0x5eed_0001
const secondSeed = 0x5eed_0002

/** Minimum score; scores are signed 32-bit integers. */
const lowestScore = -(2 ** 31)

/** The sorted distinct hosts of a list with their hashes, computed once per list. */
interface HashedHosts {
  readonly hosts: readonly types.HostId[]
  readonly first: Int32Array
  readonly second: Int32Array
}

/** Ranks hosts for a key. Hashes are cached by the identity of the array: pass the same array until the membership changes. */
export interface Rendezvous {
  /** The host with the highest score, or undefined for an empty list. */
  findBest: (key: string, hosts: readonly types.HostId[]) => types.HostId | undefined
  /** The `count` hosts with the highest scores, highest first. */
  rank: (key: string, hosts: readonly types.HostId[], count: number) => types.HostId[]
}

/** Finalizer of a 32-bit hash (murmur3), signed: every input bit changes about half of the output bits. */
function mix (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return hash ^ (hash >>> 16)
}

/** Score of a host for a key. Each has two 32-bit hashes, so that two hosts have the same scores only if 64 bits collide. */
function computeScore (keyFirst: number, keySecond: number, hostFirst: number, hostSecond: number): number {
  return mix(mix(keyFirst ^ hostFirst) ^ keySecond ^ hostSecond)
}

/** Longer rankings are computed by sorting all scores. */
const maxPartialRanking = 16

function sortByScore (scores: Int32Array): number[] {
  return Array.from(scores, (_, index) => index).sort((a, b) => scores[b]! - scores[a]! || a - b)
}

/** Indexes of the highest scores, highest first; ties are broken by the lower index, that is the smaller host id. */
function selectHighest (scores: Int32Array, count: number): number[] {
  if (count > maxPartialRanking) return sortByScore(scores).slice(0, count)
  const top: number[] = []
  for (let index = 0; index < scores.length; index += 1) {
    const score = scores[index]!
    if (top.length === count && score <= scores[top[count - 1]!]!) continue
    let position = top.length
    while (position > 0 && scores[top[position - 1]!]! < score) position -= 1
    top.splice(position, 0, index)
    if (top.length > count) top.pop()
  }
  return top
}

/** Loads the hash function. */
export async function createRendezvous (): Promise<Rendezvous> {
  const { h32 } = await xxhash()
  const hashedHostsByList = new WeakMap<readonly types.HostId[], HashedHosts>()

  function hashHosts (list: readonly types.HostId[]): HashedHosts {
    const hosts = [...new Set(list)].sort()
    return {
      hosts,
      first: Int32Array.from(hosts, (host) => h32(host, firstSeed)),
      second: Int32Array.from(hosts, (host) => h32(host, secondSeed))
    }
  }

  function getHashedHosts (list: readonly types.HostId[]): HashedHosts {
    let found = hashedHostsByList.get(list)
    if (found === undefined) {
      found = hashHosts(list)
      hashedHostsByList.set(list, found)
    }
    return found
  }

  function findBest (key: string, list: readonly types.HostId[]): types.HostId | undefined {
    const { hosts, first, second } = getHashedHosts(list)
    const keyFirst = h32(key, firstSeed) | 0
    const keySecond = h32(key, secondSeed) | 0
    let bestIndex = 0
    let bestScore = lowestScore
    for (let index = 0; index < hosts.length; index += 1) {
      const score = computeScore(keyFirst, keySecond, first[index]!, second[index]!)
      if (score <= bestScore) continue
      bestScore = score
      bestIndex = index
    }
    return hosts[bestIndex]
  }

  function rank (key: string, list: readonly types.HostId[], count: number): types.HostId[] {
    const { hosts, first, second } = getHashedHosts(list)
    const keyFirst = h32(key, firstSeed) | 0
    const keySecond = h32(key, secondSeed) | 0
    const scores = new Int32Array(hosts.length)
    for (let index = 0; index < hosts.length; index += 1) {
      scores[index] = computeScore(keyFirst, keySecond, first[index]!, second[index]!)
    }
    return selectHighest(scores, count).map((index) => hosts[index]!)
  }

  return { findBest, rank }
}
