/** Keeps the compiler of WebAssembly small. */
import * as v8 from 'node:v8'

/**
 * Leaves WebAssembly at the code of the baseline compiler. To optimize the parser of HTTP answers takes some 40 MB for a
 * moment, at a time that depends on the traffic, and such modules do little of the work here. Call it before a module is compiled.
 */
export function limitWasmCompiler (): void {
  v8.setFlagsFromString('--liftoff-only')
}
