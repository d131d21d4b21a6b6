/** A 32-bit hash of a text that every process computes alike, by a library. */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Unsigned 32 bits. Processes of different versions must agree on it: the seed is part of the format. */
export function hashText (text: string, seed = 0): number {
  return h32(text, seed)
}
