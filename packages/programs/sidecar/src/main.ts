/** eelgrasswind-sidecar: handles signals and errors before the rest of the program is loaded, then runs it. */
import * as exitLogs from '@eelgrasswind/exit-log'
import * as processSignals from '@eelgrasswind/process-signals'

const signals = processSignals.catchSignals()
exitLogs.ignoreOutputErrors()
const exitLog = exitLogs.createExitLog('eelgrasswind-sidecar', process.stderr)
const program = await import('./run-sidecar.js')
await program.runSidecar(process.argv.slice(2), signals, exitLog)
