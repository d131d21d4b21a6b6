/** Explains the decisions taken for a program. */
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'
import * as table from '../../base/table.js'
import * as askHosts from '../../platform/ask-hosts.js'

interface HostDecision extends types.Decision {
  readonly host: types.HostId
}

const headings = ['AT', 'HOST', 'STEP', 'CHOICE', 'REASON', 'CANDIDATES']

function toRow (decision: HostDecision): string[] {
  return [new Date(decision.at).toISOString(), decision.host, decision.step, decision.choice, decision.reason, decision.candidates.join(', ')]
}

export function explain (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, program: types.ProgramId, key: types.RequestKey | null): Promise<outcome.CliResult> {
  return askHosts.withHosts<outcome.Outcome>(settings, timers, async (hosts) => {
    const answers = await hosts.askAll((peer) => peer.explain(program, key))
    if (!answers.ok) return answers
    const explanations = askHosts.answered(answers.value)
    if (!explanations.ok) return explanations
    const decisions = explanations.value.flatMap(({ host, value }) => value.decisions.map((decision) => ({ ...decision, host: host.host })))
    if (decisions.length === 0) return errors.fail({ tag: 'notFound', message: `no host remembers a decision for ${key === null ? program : `${program} ${key}`}` })
    const inOrder = decisions.sort((a, b) => a.at - b.at)
    return errors.ok({ text: table.formatTable(headings, inOrder.map(toRow)), json: { program, key, decisions: inOrder } })
  })
}
