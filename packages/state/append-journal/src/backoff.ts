/** Waiting times between attempts at the log. */
const firstMs = 20
const mostMs = 1000

/** Doubles with each attempt from 0 and is spread over half of its length, in milliseconds. */
export function backoffMs (attempt: number, random: () => number): number {
  const fullMs = Math.min(mostMs, firstMs * 2 ** attempt)
  return fullMs / 2 + fullMs / 2 * random()
}
