/** Reads the settings of an eelgrasswind-sidecar and runs it until a signal stops it. */
import type * as exitLogs from '@eelgrasswind/exit-log'
import * as processBase from '@eelgrasswind/process-base'
import type * as processSignals from '@eelgrasswind/process-signals'
import * as sidecar from './sidecar.js'
import * as settings from './settings.js'

export async function runSidecar (args: readonly string[], signals: processSignals.ProcessSignals, exitLog: exitLogs.ExitLog): Promise<void> {
  await processBase.runProcess({ binary: 'eelgrasswind-sidecar', args, schema: settings.sidecarSettings, start: sidecar.startSidecar }, signals, exitLog)
}
