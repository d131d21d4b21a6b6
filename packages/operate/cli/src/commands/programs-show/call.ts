/** Shows one program. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as table from '../../base/table.js'
import * as askHosts from '../../platform/ask-hosts.js'
import * as programs from '../../platform/list-programs.js'
import * as programId from '../program-id.js'

const headings = ['TURN', 'BRANCH', 'KEY', 'TO', 'UPSTREAM', 'OUTCOME', 'TOKENS', 'MS']

function describeTarget (target: types.CallTarget): string {
  switch (target.type) {
    case 'model': return target.model
    case 'service': return `${target.service} ${target.path}`
    default: return errors.assertNever(target)
  }
}

function describeOutcome (found: types.CallOutcome): string {
  switch (found.type) {
    case 'message': return found.finishReason
    case 'service': return String(found.status)
    case 'failed': return `${found.tag} (${found.verdict})`
    default: return errors.assertNever(found)
  }
}

function toRow (turn: types.Turn): string[] {
  return [String(turn.seq), turn.branch, turn.key, describeTarget(turn.target), turn.upstream, describeOutcome(turn.outcome), String(turn.usage.tokens), String(turn.endedAt - turn.startedAt)]
}

function formatDocument ({ summary, history }: types.ProgramDocument, now: number): string {
  const lines = [
    programs.formatPrograms([{ summary }], now),
    `started ${new Date(summary.startedAt).toISOString()}, term ${summary.term}`,
    ''
  ]
  return lines.join('\n') + table.formatTable(headings, (history ?? []).map(toRow))
}

export function showProgram (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, program: types.ProgramId): Promise<outcome.CliResult> {
  return askHosts.withHosts<outcome.Outcome>(settings, timers, async (hosts) => {
    const list = await programs.listPrograms(hosts)
    if (!list.ok) return list
    const found = list.value.programs.find(({ summary }) => summary.program === program)
    if (found === undefined) return errors.fail(programId.notListed(program, list.value.silent))
    const document = await hosts.ask(found.host, (peer) => peer.read(program, true))
    if (!document.ok) return errors.fail({ tag: 'unavailable', part: 'hosts', message: `${found.host.host}: ${document.failure.message}` })
    return errors.ok({ text: formatDocument(document.value, timers.now()), json: document.value })
  })
}
