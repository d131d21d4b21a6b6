/** Computes the digest of a request, to distinguish a retry from another request with the same key. */
import * as crypto from 'node:crypto'
import type * as types from '@eelgrasswind/types'

/** Computes the SHA-256, in hex, of the members that a retry must repeat; its timeout may differ. */
export function computeRequestDigest (call: Pick<types.Call, 'branch' | 'seq' | 'idempotent' | 'target'>): string {
  const { branch, seq, idempotent, target } = call
  return crypto.createHash('sha256').update(canonicalJson({ branch, seq, idempotent, target })).digest('hex')
}

/** Encodes a value as JSON with the members of every object sorted by name. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, member: unknown) => sortMembers(member))
}

function sortMembers (value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1))
}
