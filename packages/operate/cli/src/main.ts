/** eelgrasswind: the operator's command line. */
import * as timerService from '@eelgrasswind/timer-service'
import * as clipanion from 'clipanion'
import * as runCli from './run-cli.js'

process.exitCode = await runCli.runCli(process.argv.slice(2), { ...clipanion.Cli.defaultContext, timers: timerService.createRealTimers() })
