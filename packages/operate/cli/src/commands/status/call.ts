/** Asks every host for its status. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as table from '../../base/table.js'
import * as askHosts from '../../platform/ask-hosts.js'

type Answer = askHosts.HostAnswer<types.ProcessStatus>

function formatUpstream ({ upstream, running, waiting, holds }: types.UpstreamStatus): string {
  return `${upstream} ${running}+${waiting}${holds === 0 ? '' : ` (${holds} held)`}`
}

function formatJournal (counters: Readonly<Record<string, number>>): string {
  return Object.entries(counters).map(([name, value]) => `${name}=${value}`).join(' ')
}

function toRow ({ host, answer }: Answer): string[] {
  const where = [host.host, host.role, host.availabilityZone]
  if (!answer.ok) return [...where, host.state, '-', '-', '-', `no answer: ${answer.failure.message}`]
  const { value } = answer
  const state = value.leaving ? 'leaving' : host.state
  return [...where, state, String(value.configVersion), String(value.programsAtHome), String(value.callsInFlight), value.upstreams.map(formatUpstream).join(', '), formatJournal(value.journal)]
}

const headings = ['HOST', 'ROLE', 'ZONE', 'STATE', 'VERSION', 'PROGRAMS', 'CALLS', 'UPSTREAMS (RUNNING+WAITING)', 'JOURNAL']

function toJson ({ host, answer }: Answer): unknown {
  return { ...host, ...(answer.ok ? { status: answer.value } : { failure: answer.failure }) }
}

/** Says which versions are in force where more than one is. */
function formatVersions (statuses: readonly types.ProcessStatus[]): string {
  const versions = [...new Set(statuses.map((status) => status.configVersion))].sort((a, b) => a - b)
  return versions.length > 1 ? `\nversions in force differ: ${versions.join(', ')}` : ''
}

export function showStatus (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService): Promise<outcome.CliResult> {
  return askHosts.withHosts<outcome.Outcome>(settings, timers, async (hosts) => {
    const answers = await hosts.askAll((peer) => peer.getStatus())
    if (!answers.ok) return answers
    const statuses = askHosts.answered(answers.value)
    if (!statuses.ok) return statuses
    const text = table.formatTable(headings, answers.value.map(toRow)) + formatVersions(statuses.value.map(({ value }) => value))
    return errors.ok({ text, json: { hosts: answers.value.map(toJson) } })
  })
}
