/** eelgrasswind-entry: catches signals before the rest of the program is loaded, then runs it. */
import * as processSignals from '@eelgrasswind/process-signals'

const signals = processSignals.catchSignals()
const program = await import('./run-entry.js')
await program.runEntry(process.argv.slice(2), signals)
