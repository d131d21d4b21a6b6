/** Offers planned programs at their times, whatever has become of those before, and gives what was recorded. */
import * as callerClient from '@eelgrasswind/caller-client'
import type * as plan from '../workload/plan.js'
import * as driver from './program-driver.js'
import type * as records from './records.js'
import * as runClock from './run-clock.js'

export interface RunSettings {
  readonly entries: readonly string[]
  readonly token: string
  readonly model: string
  readonly service: string
  readonly seed: number
  /** How long programs may go on after the last was offered, in milliseconds. */
  readonly drainMs: number
  readonly onProgress: (line: string) => void
}

const progressMs = 5_000
/** Calls that wait for answers through one entry. */
const connections = 1024

/** Programs that are under way when the drain time ends are recorded as unfinished. */
export async function runWorkload (settings: RunSettings, programs: readonly plan.PlannedProgram[]): Promise<readonly records.ProgramRecord[]> {
  const callers = settings.entries.map((address) => new callerClient.CallerClient({ address, token: settings.token, connections }))
  const clock = runClock.createRunClock()
  const prefix = `load-${settings.seed}-${clock.startedAt}`
  const drivers = programs.map((one) => new driver.ProgramDriver({ callers, model: settings.model, service: settings.service, prefix, clock }, one))
  let ended = 0
  clock.every(progressMs, () => settings.onProgress(`${Math.round(clock.now() / 1000)} s: ${ended} of ${programs.length} programs have ended`))
  try {
    const runs = drivers.map(async (one) => {
      await clock.pause(one.record.offeredAtMs - clock.now())
      await one.run()
      ended += 1
    })
    const lastMs = programs.at(-1)?.offeredAtMs ?? 0
    await Promise.race([Promise.all(runs), clock.pause(lastMs + settings.drainMs)])
    // Copies, so that a program that goes on changes no report.
    return drivers.map(({ record }) => ({ ...record, starts: [...record.starts], calls: [...record.calls] }))
  } finally {
    clock.close()
    await Promise.all(callers.map((caller) => caller.close()))
  }
}
