/** Keeps the young generation of the heap small. */
import * as v8 from 'node:v8'

/**
 * Leaves the semi-spaces of the young generation at their first size. V8 lets each of the three grow to 16 MB, and does not
 * give them back while requests arrive. Call it before the program is loaded, at which they would grow first.
 */
export function limitYoungGeneration (): void {
  v8.setFlagsFromString('--semi-space-growth-factor=1')
}
