/** Identifies the caller of a request. */
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as types from '@eelgrasswind/types'
import type * as accountDirectory from './account-directory.js'

/** The key presented with a request. */
export type PresentedKey =
  | { readonly type: 'none' }
  | { readonly type: 'key', readonly key: string }
  /** The header can't be parsed as a single key. */
  | { readonly type: 'unreadable' }

/** The sender of a request; forwarded with the request to every host that processes it. */
export type Caller =
  /** The configuration has no list of accounts. */
  | { readonly type: 'anyone' }
  /** The route is public, and the request has no key of an account. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'account', readonly account: types.AccountId }

/** Result of the identification: the caller, or the reason to refuse the request. */
export type IdentifyResult =
  | { readonly type: 'caller', readonly caller: Caller }
  | { readonly type: 'unknownKey' }

/** Identifies the caller. A public route needs no key, but a known key still identifies the account. */
export function identifyCaller (directory: accountDirectory.AccountDirectory, route: Pick<routeRequest.Route, 'isPublic'>, presented: PresentedKey): IdentifyResult {
  if (!directory.isEnabled) return { type: 'caller', caller: { type: 'anyone' } }
  const account = presented.type === 'key' ? directory.findByKey(presented.key) : undefined
  if (account !== undefined) return { type: 'caller', caller: { type: 'account', account: account.name } }
  if (route.isPublic) return { type: 'caller', caller: { type: 'anonymous' } }
  return { type: 'unknownKey' }
}

/** Returns the account of a caller; `undefined` for callers without one. */
export function getAccount (caller: Caller): types.AccountId | undefined {
  return caller.type === 'account' ? caller.account : undefined
}

/**
 * Returns the internal id of a program, which is unique across accounts. The separator is a line feed, which neither an
 * id from a header nor an account name can contain.
 */
export function scopeProgramId (caller: Caller, program: types.ProgramId): types.ProgramId {
  const account = getAccount(caller)
  return account === undefined ? program : `${account}\n${program}` as types.ProgramId
}
