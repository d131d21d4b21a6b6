/** A 32-bit hash of a text (xxHash) that is the same in every process. */
import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

/** Returns an unsigned 32-bit integer. Processes of different versions must agree on the value: hash function and seed are part of the format. */
export function hashText (text: string, seed = 0): number {
  return h32(text, seed)
}
