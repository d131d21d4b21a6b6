/** Reads the settings of an eelgrasswind-entry and runs it until a signal stops it. */
import type * as exitLogs from '@eelgrasswind/exit-log'
import * as processBase from '@eelgrasswind/process-base'
import type * as processSignals from '@eelgrasswind/process-signals'
import * as entry from './entry.js'
import * as settings from './settings.js'

export async function runEntry (args: readonly string[], signals: processSignals.ProcessSignals, exitLog: exitLogs.ExitLog): Promise<void> {
  await processBase.runProcess({ binary: 'eelgrasswind-entry', args, schema: settings.entrySettings, start: entry.startEntry }, signals, exitLog)
}
