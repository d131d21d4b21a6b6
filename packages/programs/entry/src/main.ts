/** eelgrasswind-entry: reads its settings and runs until it is told to leave. */
import * as processBase from '@eelgrasswind/process-base'
import * as entry from './entry.js'
import * as settings from './settings.js'

const loaded = processBase.loadSettings('eelgrasswind-entry', process.argv.slice(2), settings.entrySettings)
if (loaded.type === 'exit') {
  process.stdout.write(loaded.text)
  process.exit(loaded.code)
}
const running = await processBase.awaitStart(entry.startEntry(loaded.settings))
processBase.runUntilSignal(running, loaded.settings.drainMs)
