/** Validates start requests and completes them with the defaults of the program's kind. */
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

const budgetFields = ['tokens', 'calls', 'microCost', 'wallMs'] as const

/** Fills in budget and deadline from the kind. A budget field above the kind's limit and a deadline in the past are refused. */
export function completeStart (cfg: configState.Config, req: types.StartRequest, now: number): errors.Result<types.ProgramStart> {
  const kind = cfg.kinds.get(req.kind)
  if (kind === undefined) return errors.fail(createInvalidRequestFailure('kind', `one of ${[...cfg.kinds.keys()].join(', ')}`))
  const exceededField = budgetFields.find((field) => (req.budget[field] ?? 0) > kind.budget[field])
  if (exceededField !== undefined) return errors.fail(createInvalidRequestFailure(`budget.${exceededField}`, `at most ${kind.budget[exceededField]} for kind ${req.kind}`))
  const deadline = req.deadline ?? (now + kind.deadlineSlackMs) as types.EpochMs
  if (deadline <= now) return errors.fail(createInvalidRequestFailure('deadline', 'a time in the future'))
  return errors.ok({
    program: req.program,
    client: req.client,
    kind: req.kind,
    deadline,
    budget: { ...kind.budget, ...req.budget }
  })
}

/** Returns the first field in which a repeated request differs from the original start. Omitted fields match. */
export function findDifferingField (start: types.ProgramStart, req: types.StartRequest): string | undefined {
  if (start.client !== req.client) return 'client'
  if (start.kind !== req.kind) return 'kind'
  if (req.deadline !== null && start.deadline !== req.deadline) return 'deadline'
  const field = budgetFields.find((name) => req.budget[name] !== undefined && req.budget[name] !== start.budget[name])
  return field === undefined ? undefined : `budget.${field}`
}

function createInvalidRequestFailure (field: string, expected: string): errors.Failure {
  return { tag: 'invalidRequest', verdict: 'notRun', message: `${field}: expected ${expected}`, field, expected }
}
