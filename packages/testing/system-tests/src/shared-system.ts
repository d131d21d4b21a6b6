/** One system for all tests of a file. */
import * as crypto from 'node:crypto'
import * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'
import * as recorders from './call-recorder.js'

export interface SharedSystem {
  readonly system: testUtils.System
  readonly recorder: recorders.CallRecorder
  /** Starts a program; the host of its home. */
  readonly start: (program: string, budget?: Partial<types.Budget>) => Promise<string>
}

/** A tap, as far as this file needs it. */
interface Tap {
  readonly teardown: (run: () => unknown) => void
  readonly test: (name: string, run: (t: { same: (found: unknown, wanted: unknown) => unknown, ok: (found: unknown) => unknown, comment: (text: string) => void }) => Promise<void>) => unknown
}

/** Token of the second client of every plan. */
export const otherToken = 'shagyl-token'

function clientOf (token: string) {
  return { tokenSha256: crypto.createHash('sha256').update(token).digest('hex'), startsPerMinute: 1_000_000, callsPerSecond: 1_000_000 }
}

export async function startShared (tap: Tap, plan: testUtils.SystemPlan): Promise<SharedSystem> {
  testUtils.leaveWithoutCleanup()
  const runs: (() => unknown)[] = []
  tap.teardown(async () => { for (const run of runs.reverse()) await run() })
  const clients = { coach: clientOf(plan.token), practicum: clientOf(otherToken) }
  const system = await testUtils.startSystem({ teardown: (run) => { runs.push(run) } }, { ...plan, config: { clients, ...plan.config } })
  const recorder = new recorders.CallRecorder(system)
  runs.push(() => recorder.close())

  async function start (program: string, budget?: Partial<types.Budget>): Promise<string> {
    const started = await testUtils.eventually(async () => {
      const result = await recorder.caller().start(program, { kind: recorders.kind, ...(budget === undefined ? {} : { budget }) })
      return result.ok ? result : undefined
    })
    return started.value.home
  }

  return { system, recorder, start }
}

/** The last test of a file: what callers were told agrees with what ran. */
export function checkAtEnd (tap: Tap, recorder: recorders.CallRecorder): void {
  tap.test('what callers were told agrees with what ran', async (t) => {
    recorder.checkCounts()
    t.same(recorder.violations, [])
    t.ok(recorder.counts.whole > 0)
    t.comment(JSON.stringify(recorder.counts))
  })
}
