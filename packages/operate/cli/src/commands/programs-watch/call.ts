/** Watches programs. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as askHosts from '../../platform/ask-hosts.js'
import * as programs from '../../platform/list-programs.js'
import * as programId from '../program-id.js'
import type * as check from './check.js'

export interface WatchOutput {
  readonly json: boolean
  readonly print: (line: string) => void
  readonly progress: (line: string) => void
}

/** Every line has been printed on the way. */
const nothingLeft: outcome.Outcome = { text: '', json: undefined }

/** Looks in a row that a program may be missing, as while its home moves. */
const maxMissing = 3

class Watch {
  private readonly seen = new Map<types.ProgramId, string>()
  private missing = 0

  constructor (private readonly req: check.WatchRequest, private readonly output: WatchOutput) {}

  /** Prints what changed; returns how the watch ends, if it does. */
  look (list: programs.ProgramList, now: number): outcome.CliResult | undefined {
    const { program } = this.req
    const watched = list.programs.filter(({ summary }) => program === undefined || summary.program === program)
    for (const { summary } of watched) this.note(summary, now)
    if (program === undefined) return undefined
    if (watched[0]?.summary.state === 'finished') return errors.ok(nothingLeft)
    this.missing = watched.length === 0 ? this.missing + 1 : 0
    return this.missing >= maxMissing ? errors.fail(programId.notListed(program, list.silent)) : undefined
  }

  private note (summary: types.ProgramSummary, now: number): void {
    const state = programs.stateOf(summary, now)
    const line = `${summary.program}  ${state}  home ${summary.home}  turns ${summary.turns}  tokens ${summary.spent.tokens}/${summary.budget.tokens}`
    if (this.seen.get(summary.program) === line) return
    this.seen.set(summary.program, line)
    const at = new Date(now).toISOString()
    this.output.print(this.output.json ? JSON.stringify({ at, state, program: summary }) : `${at}  ${line}`)
  }
}

export function watchPrograms (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, req: check.WatchRequest, output: WatchOutput): Promise<outcome.CliResult> {
  const watch = new Watch(req, output)
  return askHosts.withHosts<outcome.Outcome>(settings, timers, async (hosts) => {
    for (let looks = 1; ; looks += 1) {
      const list = await programs.listPrograms(hosts)
      if (!list.ok && looks === 1) return list
      if (!list.ok) output.progress(`${list.failure.tag === 'unavailable' ? list.failure.message : list.failure.tag}; trying again`)
      const end = list.ok ? watch.look(list.value, timers.now()) : undefined
      if (end !== undefined) return end
      if (looks >= req.looks) return errors.ok(nothingLeft)
      await timerService.sleep(timers, req.intervalMs)
    }
  })
}
