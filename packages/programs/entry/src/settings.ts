/** Settings of an entry. */
import * as processBase from '@eelgrasswind/process-base'
import * as z from 'zod'

export const entrySettings = processBase.baseSettings.extend({
  callerPort: processBase.port('Port for callers'),
  maxDescriptors: z.number().int().positive().default(4_096).describe('Number of file descriptors that this process may have open: half of them, besides 200 for files, are for connections of callers, at most 1,000.'),
  memoryMb: z.number().int().positive().optional().describe('Memory that this process may use, in MB. The bodies of all requests together may hold an eighth of it, or two bodies of the greatest size if that is more; answers that callers do not read, an eighth or 8 MiB. Without it, as with 256.'),
  homePatienceMs: processBase.milliseconds('How long a request without a timeout of its own is retried to reach the home of its program.', 6_000)
})

export type EntrySettings = z.output<typeof entrySettings>
