/** A comparison as a table in Markdown: mean and, after ±, the standard deviation over the seeds. */
import type * as compare from './compare.js'

interface Column {
  readonly title: string
  readonly cell: (row: compare.ComparedRow) => string
}

const seconds = 1 / 1000
const percent = 100

function measured (title: string, name: compare.MeasureName, factor = 1, digits = 1): Column {
  return { title, cell: (row) => cellOf(row.measures[name], factor, digits) }
}

function ratio (title: string, name: keyof compare.ComparedRow['ratios']): Column {
  return { title, cell: (row) => cellOf(row.ratios[name], 1, 2) }
}

const usualColumns: readonly Column[] = [
  { title: 'load', cell: (row) => String(row.load) },
  { title: 'rules', cell: (row) => row.rules },
  measured('p50 s', 'p50', seconds),
  measured('p95 s', 'p95', seconds),
  measured('p99 s', 'p99', seconds),
  measured('in time %', 'inTimeShare', percent),
  measured('admitted in time %', 'admittedInTimeShare', percent),
  measured('refused %', 'refusedShare', percent),
  measured('recomputed', 'recomputedTokens', 1, 0),
  measured('held', 'heldTokenSeconds', 1, 0),
  ratio('p95 ×', 'p95'),
  ratio('late ×', 'lateWeight'),
  ratio('waste ×', 'waste'),
  measured('longest wait s', 'longestWaitMs', seconds),
  measured('2nd tries', 'secondTries', 1, 0),
  measured('2nd admitted %', 'secondTryAdmitted', percent, 0),
  measured('2nd in time %', 'secondTryInTime', percent, 0)
]

const faultColumns: readonly Column[] = [
  { title: 'load', cell: (row) => String(row.load) },
  { title: 'rules', cell: (row) => row.rules },
  measured('in time % before', 'inTimeBefore', percent),
  measured('during', 'inTimeDuring', percent),
  measured('after', 'inTimeAfter', percent),
  measured('p95 s before', 'p95Before', seconds),
  measured('during', 'p95During', seconds),
  measured('after', 'p95After', seconds),
  measured('refused %', 'refusedShare', percent),
  measured('waste', 'waste', 1, 0),
  measured('recovered %', 'recoveredShare', percent, 0),
  measured('after s', 'recoveryMs', seconds, 0),
  measured('stretch before', 'stretchBefore', 1, 2),
  measured('stretch after', 'stretchAfter', 1, 2),
  measured('attempts ×', 'attemptFactor', 1, 4)
]

export function tableOf (rows: readonly compare.ComparedRow[], withFault: boolean): string {
  const columns = withFault ? faultColumns : usualColumns
  const lines = [
    columns.map((column) => column.title),
    columns.map(() => '---'),
    ...rows.map((row) => columns.map((column) => column.cell(row)))
  ]
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')
}

function cellOf (spread: compare.Spread, factor: number, digits: number): string {
  if (Number.isNaN(spread.mean)) return '-'
  return `${(spread.mean * factor).toFixed(digits)} ±${(spread.sd * factor).toFixed(digits)}`
}
