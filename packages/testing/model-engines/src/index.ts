/** Fakes of engines under a manual clock, to compare decision rules over many seeds. */
export { compare, type Comparison, type ComparedRow, type MeasureName } from './compare.js'
export { deployments, type Deployment } from './deployments.js'
export { parseRules, type Rules } from './rules.js'
export { faults, runScenario, type Fault, type Scenario, type ScenarioResult } from './scenario.js'
