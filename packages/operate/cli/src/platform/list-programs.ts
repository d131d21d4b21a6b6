/** The programs that the sidecars are homes of. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as outcome from '../base/outcome.js'
import * as table from '../base/table.js'
import * as askHosts from './ask-hosts.js'

export interface ListedProgram {
  readonly summary: types.ProgramSummary
  /** Where it was listed. */
  readonly host: types.HostEntry
}

export interface ProgramList {
  readonly programs: readonly ListedProgram[]
  /** Hosts that did not answer: their programs are missing. */
  readonly silent: readonly types.HostId[]
}

/** Programs asked of each host; more than a host of the planned size is home of. */
const maxListed = 10_000

/** Asks every sidecar. Of a program that two hosts list, as after a takeover, the later term counts. */
export async function listPrograms (all: askHosts.Hosts): Promise<errors.Result<ProgramList, outcome.CliFailure>> {
  const answers = await all.askAll((peer) => peer.list(maxListed), 'sidecar')
  if (!answers.ok) return answers
  const lists = askHosts.answered(answers.value)
  if (!lists.ok) return lists
  const byId = new Map<types.ProgramId, ListedProgram>()
  for (const { host, value } of lists.value) {
    for (const summary of value) {
      const known = byId.get(summary.program)
      if (known === undefined || known.summary.term < summary.term) byId.set(summary.program, { summary, host })
    }
  }
  const silent = answers.value.filter(({ answer }) => !answer.ok).map(({ host }) => host.host)
  return errors.ok({ programs: [...byId.values()].sort(byStart), silent })
}

function byStart (a: ListedProgram, b: ListedProgram): number {
  return a.summary.startedAt - b.summary.startedAt || (a.summary.program < b.summary.program ? -1 : 1)
}

/** State of a program in one word: how it ended, or whether it is past its deadline. */
export function stateOf (summary: types.ProgramSummary, now: number): string {
  const state = summary.result ?? (summary.deadline < now ? 'late' : summary.state)
  return summary.complete ? state : `${state}, history incomplete`
}

const headings = ['PROGRAM', 'CLIENT', 'KIND', 'STATE', 'HOME', 'TURNS', 'TOKENS', 'CALLS', 'COST', 'DEADLINE']

function share (spent: number, budget: number): string {
  return `${spent}/${budget}`
}

function toRow ({ summary }: Pick<ListedProgram, 'summary'>, now: number): string[] {
  const { spent, budget } = summary
  return [summary.program, summary.client, summary.kind, stateOf(summary, now), summary.home, String(summary.turns),
    share(spent.tokens, budget.tokens), share(spent.calls, budget.calls), share(spent.microCost, budget.microCost), new Date(summary.deadline).toISOString()]
}

export function formatPrograms (programs: readonly Pick<ListedProgram, 'summary'>[], now: number): string {
  return table.formatTable(headings, programs.map((program) => toRow(program, now)))
}

export function formatSilent (silent: readonly types.HostId[]): string {
  return silent.length === 0 ? '' : `\nno answer from ${silent.join(', ')}: their programs are missing`
}
