/** Lists programs. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as askHosts from '../../platform/ask-hosts.js'
import * as programs from '../../platform/list-programs.js'
import type * as check from './check.js'

function hasState (summary: types.ProgramSummary, state: check.ProgramFilterState | undefined, now: number): boolean {
  switch (state) {
    case undefined: return true
    case 'running':
    case 'finished': return summary.state === state
    case 'late': return summary.state === 'running' && summary.deadline < now
    default: return errors.assertNever(state)
  }
}

function passes (summary: types.ProgramSummary, filter: check.ProgramFilter, now: number): boolean {
  if (filter.client !== undefined && summary.client !== filter.client) return false
  if (filter.kind !== undefined && summary.kind !== filter.kind) return false
  return hasState(summary, filter.state, now)
}

export function listPrograms (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, filter: check.ProgramFilter): Promise<outcome.CliResult> {
  return askHosts.withHosts<outcome.Outcome>(settings, timers, async (hosts) => {
    const list = await programs.listPrograms(hosts)
    if (!list.ok) return list
    const now = timers.now()
    const found = list.value.programs.filter(({ summary }) => passes(summary, filter, now))
    const { silent } = list.value
    return errors.ok({ text: programs.formatPrograms(found, now) + programs.formatSilent(silent), json: { programs: found.map(({ summary }) => summary), silent } })
  })
}
