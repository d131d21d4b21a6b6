/** Recognizes the attempts of a client at one request: each has an id of its own, and may reach another host. */
import * as crypto from 'node:crypto'
import type * as types from '@eelgrasswind/types'

/** What stays the same over all attempts at a request. */
export interface RequestIdentity {
  readonly account: types.AccountId | undefined
  readonly method: string
  /** Host name of its route. */
  readonly host: string
  /** Path and query. */
  readonly path: string
  /** The program that makes the request, and its series of turns; `undefined` if none is named. */
  readonly program: types.ProgramId | undefined
  readonly session: string | undefined
  /** The turn that it continues. */
  readonly previous: string | undefined
  /** The body as the client sent it. */
  readonly body: Uint8Array
}

/** Length of a fingerprint in bytes. Two different requests get the same one with a probability of 2 to the power of -128. */
const fingerprintBytes = 16

/** Computes the fingerprint of a request. Processes of different versions must agree on it: they report it to each other. */
export function computeFingerprint (identity: RequestIdentity): types.RequestFingerprint {
  const { account, method, host, path, program, session, previous, body } = identity
  const head = JSON.stringify([account ?? null, method, host, path, program ?? null, session ?? null, previous ?? null])
  const digest = crypto.createHash('sha256').update(head).update('\n').update(body).digest()
  return digest.subarray(0, fingerprintBytes).toString('base64url') as types.RequestFingerprint
}
