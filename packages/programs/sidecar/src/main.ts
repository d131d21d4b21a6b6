/** eelgrasswind-sidecar: reads its settings and runs until it is told to leave. */
import * as processBase from '@eelgrasswind/process-base'
import * as settings from './settings.js'
import * as sidecar from './sidecar.js'

const loaded = processBase.loadSettings('eelgrasswind-sidecar', process.argv.slice(2), settings.sidecarSettings)
if (loaded.type === 'exit') {
  process.stdout.write(loaded.text)
  process.exit(loaded.code)
}
const running = await processBase.awaitStart(sidecar.startSidecar(loaded.settings))
processBase.runUntilSignal(running, loaded.settings.drainMs)
