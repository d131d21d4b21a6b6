/** Arithmetic on the usage of programs: tokens, calls and cost in millionths of the currency. */
import type * as types from '@eelgrasswind/types'

export const zero: types.Usage = { tokens: 0, calls: 0, microCost: 0 }

export function add (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens + b.tokens, calls: a.calls + b.calls, microCost: a.microCost + b.microCost }
}

export function subtract (a: types.Usage, b: types.Usage): types.Usage {
  return { tokens: a.tokens - b.tokens, calls: a.calls - b.calls, microCost: a.microCost - b.microCost }
}
