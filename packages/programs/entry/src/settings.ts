/** Settings of an entry. */
import * as processBase from '@eelgrasswind/process-base'
import type * as z from 'zod'

export const entrySettings = processBase.baseSettings.extend({
  callerPort: processBase.port('Port for callers'),
  homePatienceMs: processBase.milliseconds('How long a request without a timeout of its own is retried to reach the home of its program.', 6_000)
})

export type EntrySettings = z.output<typeof entrySettings>
