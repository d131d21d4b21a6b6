/** Selects the processes that count the ends under a request, the same ones in every process that knows the same addresses. */
import * as hashText from '@eelgrasswind/hash-text'
import type * as types from '@eelgrasswind/types'

/** Number of processes that count the ends under one request: two of them may restart between two attempts. */
export const keeperCount = 3

/** Ranks addresses by rendezvous hashing, so that a change of the membership moves few requests. */
export function selectKeepers (request: types.RequestFingerprint, addresses: readonly string[]): string[] {
  return addresses
    .map((address) => ({ address, score: hashText.hashText(`${request} ${address}`) }))
    .sort((a, b) => b.score - a.score || (a.address < b.address ? -1 : 1))
    .slice(0, keeperCount)
    .map(({ address }) => address)
}
