/** The client accounts of one version of the configuration, arranged for lookups by key. */
import * as crypto from 'node:crypto'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'

/** Finds accounts by key and by name. */
export interface AccountDirectory {
  /** False: the configuration has no accounts, and requests need no key. */
  readonly isEnabled: boolean
  readonly findByKey: (key: string) => routeRequest.ClientAccount | undefined
  readonly findByName: (name: types.AccountId) => routeRequest.ClientAccount | undefined
}

/** Accounts that can't be told apart, or that can't be counted. Names the field; never a key. */
export class AccountError extends Error {
  override readonly name = 'AccountError'
}

/** Arranges the accounts. Throws `AccountError` where two share a name or a key. */
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
    findByKey: (key) => byDigest.get(computeDigest(key)),
    findByName: (name) => byName.get(name)
  }
}

/** Keys are looked up by digest, so that the time that it takes says nothing about how near a guess is. */
function computeDigest (key: string): string {
  return crypto.createHash('sha256').update(key).digest('base64')
}
