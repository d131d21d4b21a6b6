/** What `config check` was asked for. */
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as z from 'zod'
import * as operatorSettings from '../../base/operator-settings.js'
import type * as outcome from '../../base/outcome.js'

/** Kinds of file that can be checked. */
export const fileKinds = ['config', 'operator'] as const
export type FileKind = typeof fileKinds[number]

export interface CheckRequest {
  readonly schema: z.ZodType
  readonly files: readonly string[]
}

function schemaOf (kind: FileKind): z.ZodType {
  switch (kind) {
    case 'config': return configState.documentSchema
    case 'operator': return operatorSettings.operatorSettings
    default: return errors.assertNever(kind)
  }
}

export function checkRequest (kind: string, files: readonly string[]): errors.Result<CheckRequest, outcome.CliFailure> {
  const known = fileKinds.find((one) => one === kind)
  if (known === undefined) return errors.fail({ tag: 'usage', message: `--kind: expected ${fileKinds.join(' or ')}, found ${JSON.stringify(kind)}` })
  return errors.ok({ schema: schemaOf(known), files })
}
