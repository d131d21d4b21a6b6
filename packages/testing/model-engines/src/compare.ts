/** Runs choices of rules over the same seeds and sums them up with their spread. */
import * as deployments from './deployments.js'
import type * as measures from './measures.js'
import * as rules from './rules.js'
import * as scenario from './scenario.js'

export interface Comparison {
  readonly deployment: deployments.Deployment['name']
  readonly loads: readonly number[]
  readonly seeds: number
  readonly firstSeed: number
  readonly fault: scenario.Fault
  /** Texts for `parseRules`; the first one is what the others are compared with. */
  readonly rules: readonly string[]
}

/** Mean and standard deviation over the seeds. */
export interface Spread {
  readonly mean: number
  readonly sd: number
}

export interface ComparedRow {
  readonly load: number
  readonly rules: string
  readonly measures: Readonly<Record<MeasureName, Spread>>
  /** Mean over the seeds of this row's value divided by the first row's, seed by seed. */
  readonly ratios: { readonly p95: Spread, readonly lateWeight: Spread, readonly waste: Spread }
  readonly results: readonly scenario.ScenarioResult[]
}

export const measureNames = ['programs', 'p50', 'p95', 'p99', 'inTimeShare', 'admittedInTimeShare', 'refusedShare', 'recomputedTokens',
  'heldTokenSeconds', 'waste', 'attemptFactor', 'secondTries', 'secondTryAdmitted', 'secondTryInTime', 'longestWaitMs', 'inTimeBefore', 'inTimeDuring',
  'inTimeAfter', 'p95Before', 'p95During', 'p95After', 'recoveryMs', 'recoveredShare', 'stretchBefore', 'stretchAfter'] as const
export type MeasureName = typeof measureNames[number]

export function compare (comparison: Comparison): ComparedRow[] {
  return comparison.loads.flatMap((load) => compareAt(comparison, load))
}

function compareAt (comparison: Comparison, load: number): ComparedRow[] {
  const deployment = deployments.deployments[comparison.deployment]
  const rows = comparison.rules.map((text) => {
    const chosen = rules.parseRules(text)
    return Array.from({ length: comparison.seeds }, (_, at) => scenario.runScenario({
      deployment, load, seed: comparison.firstSeed + at, fault: comparison.fault, rules: chosen
    }))
  })
  const first = rows[0]!
  return rows.map((results, at) => ({
    load,
    rules: comparison.rules[at]!,
    measures: measuresOf(results),
    ratios: {
      p95: ratioOf(results, first, (result) => result.latencyMs.p95),
      lateWeight: ratioOf(results, first, (result) => 1 - result.inTimeShare),
      waste: ratioOf(results, first, (result) => result.waste)
    },
    results
  }))
}

function measuresOf (results: readonly scenario.ScenarioResult[]): Record<MeasureName, Spread> {
  const spreads = measureNames.map((name) => {
    const values = results.map((result) => valueOf(result, name)).filter((value) => value !== undefined)
    return [name, spreadOf(values)]
  })
  return Object.fromEntries(spreads)
}

function valueOf (result: scenario.ScenarioResult, name: MeasureName): number | undefined {
  switch (name) {
    case 'p50':
    case 'p95':
    case 'p99': return result.latencyMs[name]
    case 'recoveredShare': return result.recoveryMs === undefined ? 0 : 1
    case 'inTimeBefore': return spanOf(result, 0)?.inTimeShare
    case 'inTimeDuring': return spanOf(result, 1)?.inTimeShare
    case 'inTimeAfter': return spanOf(result, 2)?.inTimeShare
    case 'p95Before': return spanOf(result, 0)?.latencyMs.p95
    case 'p95During': return spanOf(result, 1)?.latencyMs.p95
    case 'p95After': return spanOf(result, 2)?.latencyMs.p95
    default: return result[name]
  }
}

function spanOf (result: scenario.ScenarioResult, at: number): measures.SpanMeasures | undefined {
  return result.spans[at]
}

function ratioOf (results: readonly scenario.ScenarioResult[], first: readonly scenario.ScenarioResult[], value: (result: scenario.ScenarioResult) => number): Spread {
  const ratios = results.map((result, at) => {
    const base = value(first[at]!)
    return base === 0 ? undefined : value(result) / base
  })
  return spreadOf(ratios.filter((ratio) => ratio !== undefined))
}

export function spreadOf (values: readonly number[]): Spread {
  if (values.length === 0) return { mean: NaN, sd: NaN }
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  return { mean, sd: Math.sqrt(squares / Math.max(1, values.length - 1)) }
}
