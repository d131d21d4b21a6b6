/** Reads a settings file, again and again until it is whole. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as z from 'zod'
import * as classify from './classify-settings.js'

/** A settings file and its schema. */
export interface SettingsSource<T> {
  readonly file: string
  /** Returns the text of the file; throws if it can't be read. */
  readonly read: () => string
  readonly schema: z.ZodType<T>
}

/** Dependencies of a wait for settings. */
export interface AwaitSettingsPorts {
  readonly timers: timerService.TimerService
  /** Called once, if the first read is incomplete. */
  readonly onIncomplete: (reason: string) => void
}

/** Maximum time that an incomplete file is awaited, in ms; writing one takes far less. */
export const maxWaitMs = 15_000
const retryIntervalMs = 50
/** The value doesn't matter: the timer only keeps the event loop alive, which the timers of the timer service don't. */
const keepAliveIntervalMs = 60_000

/** Reads the file once. */
export function readSettings<T> ({ file, read, schema }: SettingsSource<T>): classify.SettingsRead<T> {
  return classify.classifySettings(readContent(read), schema, file)
}

function readContent (read: () => string): classify.FileContent {
  try {
    return errors.ok(read())
  } catch (err) {
    return errors.fail(err as Error)
  }
}

/** Resolves once the file is whole or has an invalid field, or with the last incomplete read after `maxWaitMs`. */
export async function awaitSettings<T> (source: SettingsSource<T>, { timers, onIncomplete }: AwaitSettingsPorts): Promise<classify.SettingsRead<T>> {
  let found = readSettings(source)
  if (found.type !== 'incomplete') return found
  onIncomplete(found.reason)
  const deadlineAt = timers.monotonic() + maxWaitMs
  const keepAlive = setInterval(() => {}, keepAliveIntervalMs)
  while (found.type === 'incomplete' && timers.monotonic() < deadlineAt) {
    await timerService.sleep(timers, retryIntervalMs)
    found = readSettings(source)
  }
  clearInterval(keepAlive)
  return found
}
