/** Indexes the client accounts of one configuration version by key and by name. */
import * as crypto from 'node:crypto'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'

/** An index of client accounts. */
export interface AccountDirectory {
  /** False if the configuration has no list of accounts: requests then need no key. */
  readonly isEnabled: boolean
  /** Whether any account has a limit. */
  readonly hasLimits: boolean
  readonly findByKey: (key: string) => routeRequest.ClientAccount | undefined
  readonly findByName: (name: types.AccountId) => routeRequest.ClientAccount | undefined
}

/** Several accounts have the same name or key. The message names the field, never a key. */
export class AccountError extends Error {
  override readonly name = 'AccountError'
}

/** Builds the index. Throws `AccountError` if two accounts share a name or a key. */
export function createAccountDirectory (accounts: readonly routeRequest.ClientAccount[] | undefined): AccountDirectory {
  const byName = new Map<types.AccountId, routeRequest.ClientAccount>()
  const byDigest = new Map<string, routeRequest.ClientAccount>()
  for (const account of accounts ?? []) {
    if (byName.has(account.name)) throw new AccountError(`account ${account.name}: name: expected one account of this name`)
    byName.set(account.name, account)
    for (const [index, key] of account.keys.entries()) {
      const digest = computeDigest(key)
      const other = byDigest.get(digest)
      if (other !== undefined && other !== account) throw new AccountError(`account ${account.name}: keys.${index}: expected a key that account ${other.name} does not have`)
      byDigest.set(digest, account)
    }
  }
  return {
    isEnabled: accounts !== undefined,
    hasLimits: accounts?.some(({ limit }) => limit !== undefined) ?? false,
    findByKey: (key) => byDigest.get(computeDigest(key)),
    findByName: (name) => byName.get(name)
  }
}

/** Keys are looked up by digest, so that the time of a lookup reveals nothing about similar keys (timing attack). */
function computeDigest (key: string): string {
  return crypto.createHash('sha256').update(key).digest('base64')
}
