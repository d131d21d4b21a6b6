/** Who sends a request. */
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as accountDirectory from './account-directory.js'

/** The key that came with a request. */
export type PresentedKey =
  | { readonly type: 'none' }
  | { readonly type: 'key', readonly key: string }
  /** The header can't be read as one key. */
  | { readonly type: 'unreadable' }

/** Who sends a request; it goes with the request to every host that works on it. */
export type Caller =
  /** The configuration has no accounts. */
  | { readonly type: 'anyone' }
  /** The route is public, and the request named no account. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'account', readonly account: types.AccountId }

/** What a request is told, if it may not go on. */
export type IdentifyResult =
  | { readonly type: 'caller', readonly caller: Caller }
  | { readonly type: 'unknownKey' }

/** Decides who asks. On a public route a key is not needed, but one that is known counts. */
export function identifyCaller (directory: accountDirectory.AccountDirectory, route: Pick<routeRequest.Route, 'isPublic'>, presented: PresentedKey): IdentifyResult {
  if (!directory.isEnabled) return { type: 'caller', caller: { type: 'anyone' } }
  const account = presented.type === 'key' ? directory.findByKey(presented.key) : undefined
  if (account !== undefined) return { type: 'caller', caller: { type: 'account', account: account.name } }
  if (route.isPublic) return { type: 'caller', caller: { type: 'anonymous' } }
  return { type: 'unknownKey' }
}

/** The account of a caller, if it has one. */
export function getAccount (caller: Caller): types.AccountId | undefined {
  return caller.type === 'account' ? caller.account : undefined
}

/**
 * The name under which the system keeps a program: the same id under two accounts is two programs. No id that comes in a
 * header and no account's name holds a line feed.
 */
export function scopeProgramId (caller: Caller, program: types.ProgramId): types.ProgramId {
  const account = getAccount(caller)
  return account === undefined ? program : `${account}\n${program}` as types.ProgramId
}
