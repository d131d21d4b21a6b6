/** From a caller's request to start a program to what it is started with. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

const budgetFields = ['tokens', 'calls', 'microCost', 'wallMs'] as const

/** Fills in what the kind says; a budget above the kind's is refused. */
export function completeStart (cfg: configState.Config, req: types.StartRequest, now: number): errors.Result<types.ProgramStart> {
  const kind = cfg.kinds.get(req.kind)
  if (kind === undefined) return errors.fail(invalid('kind', `one of ${[...cfg.kinds.keys()].join(', ')}`))
  const tooMuch = budgetFields.find((field) => (req.budget[field] ?? 0) > kind.budget[field])
  if (tooMuch !== undefined) return errors.fail(invalid(`budget.${tooMuch}`, `at most ${kind.budget[tooMuch]} for kind ${req.kind}`))
  const deadline = req.deadline ?? (now + kind.deadlineSlackMs) as types.EpochMs
  if (deadline <= now) return errors.fail(invalid('deadline', 'a time to come'))
  return errors.ok({
    program: req.program,
    client: req.client,
    kind: req.kind,
    deadline,
    budget: { ...kind.budget, ...req.budget }
  })
}

/** The first field in which a repeated request differs from what the program was started with; what it leaves out agrees. */
export function differingField (start: types.ProgramStart, req: types.StartRequest): string | undefined {
  if (start.client !== req.client) return 'client'
  if (start.kind !== req.kind) return 'kind'
  if (req.deadline !== null && start.deadline !== req.deadline) return 'deadline'
  const field = budgetFields.find((name) => req.budget[name] !== undefined && req.budget[name] !== start.budget[name])
  return field === undefined ? undefined : `budget.${field}`
}

function invalid (field: string, expected: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `${field}: expected ${expected}`, field, expected }
}
