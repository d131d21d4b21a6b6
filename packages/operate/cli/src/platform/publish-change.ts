/** Appends a change until its fate is known, however many answers are lost. */
import * as configState from '@eelgrasswind/config-state'
import type * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import * as timerService from '@eelgrasswind/timer-service'
import type * as configStream from './config-stream.js'

export type PublishResult =
  | { readonly type: 'judged', readonly fate: configStream.JudgedChange }
  /** The log refused it every time: it is not in the stream and never will be. */
  | { readonly type: 'notSent', readonly failure: errors.Failure }
  /** It may be in the stream, or may still come to be. */
  | { readonly type: 'unknown', readonly failure: errors.Failure }

export interface PublishDeps {
  readonly log: logClient.LogClient
  readonly stream: configStream.ConfigStream
  readonly timers: timerService.TimerService
  /** Longest wait for the fate of the change, in milliseconds. */
  readonly limitMs: number
  readonly progress: (line: string) => void
}

const retryMs = 500

const notInStream: errors.Failure = {
  tag: 'logUnavailable',
  verdict: 'mayHaveRun',
  message: 'the log has not shown the change yet',
  retryAfterMs: retryMs
}

/**
 * A change counts only while the version it is based on is in force, so appending it a second time is harmless: of
 * its copies the first one decides, and the others are refused.
 */
export async function publishChange (deps: PublishDeps, change: configState.ConfigChange): Promise<PublishResult> {
  const { log, stream, timers } = deps
  const data = configState.encodeChange(change)
  const until = timers.monotonic() + deps.limitMs
  let mayBeThere = false
  let isThere = false
  for (;;) {
    const appended: errors.Result<logClient.AppendResult> | undefined = isThere ? undefined : await log.append(configState.configStream, data)
    isThere ||= appended?.ok === true
    mayBeThere ||= isThere || (appended?.ok === false && appended.failure.verdict !== 'notRun')
    const read = mayBeThere ? await stream.read() : undefined
    const fate = stream.fateOf(change.id)
    if (fate !== undefined) return { type: 'judged', fate }
    const failure = failureOf(appended) ?? failureOf(read) ?? notInStream
    if (timers.monotonic() + retryMs > until) return { type: mayBeThere ? 'unknown' : 'notSent', failure }
    deps.progress(`${failure.message}; trying again`)
    await timerService.sleep(timers, retryMs)
  }
}

function failureOf (result: errors.Result<unknown> | undefined): errors.Failure | undefined {
  return result === undefined || result.ok ? undefined : result.failure
}
