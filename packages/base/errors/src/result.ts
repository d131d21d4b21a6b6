/** A value or a failure, for code where failures are expected outcomes. */
import type * as failures from './failure.js'

export type Result<T, F = failures.Failure> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly failure: F }

/** Creates a successful result. */
export function ok<T> (value: T): { readonly ok: true, readonly value: T } {
  return { ok: true, value }
}

/** Creates a failed result. */
export function fail<F> (failure: F): { readonly ok: false, readonly failure: F } {
  return { ok: false, failure }
}
