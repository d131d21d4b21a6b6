/** The configuration in force, read from the log. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as logClient from '@eelgrasswind/log-client'
import type * as timerService from '@eelgrasswind/timer-service'
import * as operatorSettings from '../base/operator-settings.js'
import type * as outcome from '../base/outcome.js'
import * as configStream from './config-stream.js'

export function logFailure (failure: errors.Failure): outcome.CliFailure {
  return { tag: 'unavailable', part: 'log', message: failure.message }
}

function gapFailure (cause: configState.GapCause): outcome.CliFailure {
  switch (cause) {
    case 'expired': return { tag: 'unavailable', part: 'log', message: 'records of the configuration have expired and no copy was written in time; ask the running hosts by status' }
    case 'unknownFormat': return { tag: 'refused', message: 'the stream holds a record of a newer format; update this command', versionInForce: 0 }
    default: return errors.assertNever(cause)
  }
}

/** What a command does with the log and the stream, which has been read to its end. */
export type UseStream<T> = (stream: configStream.ConfigStream, log: logClient.LogClient) => Promise<errors.Result<T, outcome.CliFailure>>

/** Opens the log, reads the configuration stream, and closes the log again. */
export async function withConfigStream<T> (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, use: UseStream<T>): Promise<errors.Result<T, outcome.CliFailure>> {
  const address = operatorSettings.requireAddress(settings, 'log')
  if (!address.ok) return address
  const log = logClient.createLogClient({ address: address.value, timeoutMs: settings.log.timeoutMs, timers })
  try {
    const stream = new configStream.ConfigStream(log)
    const state = await stream.read()
    if (!state.ok) return errors.fail(logFailure(state.failure))
    if (state.value.gap !== null) return errors.fail(gapFailure(state.value.gap.cause))
    return await use(stream, log)
  } finally {
    await log.close()
  }
}

/** The configuration that a change leads from; null before the first. */
export function configInForce (state: configState.ConfigState): configState.Config | null {
  return state.version === 0 ? null : state.config
}
