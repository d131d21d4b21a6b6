/** eelgrasswind-load: seeded load on a running system, with reports. */
import * as runLoad from './run-load.js'

process.exitCode = await runLoad.runLoad(process.argv.slice(2))
