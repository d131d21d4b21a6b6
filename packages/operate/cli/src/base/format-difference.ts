/** Differences between two configurations as lines of text. */
import * as util from 'node:util'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'

function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** One line for each field that differs. */
function changedFields (path: parseSettings.FieldPath, from: unknown, to: unknown): string[] {
  if (util.isDeepStrictEqual(from, to)) return []
  if (isRecord(from) && isRecord(to)) {
    const names = [...new Set([...Object.keys(from), ...Object.keys(to)])]
    return names.flatMap((name) => changedFields([...path, name], from[name], to[name]))
  }
  if (Array.isArray(from) && Array.isArray(to) && from.length === to.length) {
    return from.flatMap((item, index) => changedFields([...path, index], item, to[index]))
  }
  return [`~ ${parseSettings.formatPath(path)}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`]
}

function formatDifference (difference: configState.ConfigDifference): string[] {
  const path = [difference.section, difference.id]
  switch (difference.type) {
    case 'added': return [`+ ${parseSettings.formatPath(path)}: ${JSON.stringify(difference.to)}`]
    case 'changed': return changedFields(path, difference.from, difference.to)
    case 'removed': return [`- ${parseSettings.formatPath(path)}`]
    default: return errors.assertNever(difference)
  }
}

/** `+` for what is added, `~` for each field that changes, `-` for what is removed. */
export function formatDifferences (differences: readonly configState.ConfigDifference[]): string {
  return differences.flatMap(formatDifference).join('\n')
}

/** Lines of a summary. */
const maxSummaryLines = 20

/** As formatDifferences, but cut where there is much. */
export function summarizeDifferences (differences: readonly configState.ConfigDifference[]): string {
  const lines = differences.flatMap(formatDifference)
  if (lines.length <= maxSummaryLines) return lines.join('\n')
  return [...lines.slice(0, maxSummaryLines), `and ${lines.length - maxSummaryLines} more`].join('\n')
}
