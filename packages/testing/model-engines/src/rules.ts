/** A choice of one rule for each matter, and the choices that are compared. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as orderQueue from '@eelgrasswind/order-queue'
import type * as placeCall from '@eelgrasswind/place-call'
import * as retainPrefix from '@eelgrasswind/retain-prefix'

export interface Rules {
  readonly order: orderQueue.OrderRule
  readonly place: placeCall.PlaceRule
  readonly hold: retainPrefix.HoldRule
  readonly admit: admitProgram.AdmissionRule
  /** Whether slow upstreams are noticed from own calls' token times. */
  readonly noticeSlow: boolean
}

/** First come first served, round robin, no holds, no admission. */
export const baseline: Rules = {
  order: { type: 'fifo' },
  place: { type: 'roundRobin' },
  hold: { type: 'never' },
  admit: { type: 'none' },
  noticeSlow: false
}

/** Prices of the fakes' engines, as an operator would measure them. */
export const measuredCosts: placeCall.PlaceCosts = {
  prefillMsPerToken: 0.25,
  decodeMsPerToken: 20,
  slowdownPerStream: 0.06,
  importMsPerToken: 0.04,
  typicalCallMs: 4_000
}

function homeFirst (spillMarginMs: number, importMsPerToken: number | undefined): placeCall.PlaceRule {
  return { type: 'homeFirst', costs: { ...measuredCosts, importMsPerToken }, spillMarginMs }
}

const starvationMs = 180_000

const orders: Readonly<Record<string, orderQueue.OrderRule>> = {
  fifo: { type: 'fifo' },
  earliestDeadline: { type: 'earliestDeadline', starvationMs },
  leastAttained: { type: 'leastAttained', starvationMs },
  weightedSlack: orderQueue.defaultOrderRule
}

const places: Readonly<Record<string, placeCall.PlaceRule>> = {
  roundRobin: { type: 'roundRobin' },
  leastLoaded: { type: 'leastLoaded' },
  twoChoices: { type: 'twoChoices' },
  homeFirst: homeFirst(1_500, undefined),
  homeFirstImport: homeFirst(1_500, measuredCosts.importMsPerToken)
}

const holds: Readonly<Record<string, retainPrefix.HoldRule>> = {
  always: { type: 'always' },
  never: { type: 'never' },
  fixed: { type: 'fixed', holdMs: 10_000 },
  learnt: retainPrefix.learntHoldRule
}

const admissions: Readonly<Record<string, admitProgram.AdmissionRule>> = {
  none: { type: 'none' },
  queueBound: { type: 'queueBound', waitingPerSlot: 1 },
  inTime: admitProgram.defaultAdmissionRule
}

/** The winners together. */
export const winners: Rules = {
  order: orderQueue.defaultOrderRule,
  place: homeFirst(1_500, measuredCosts.importMsPerToken),
  hold: retainPrefix.defaultHoldRule,
  admit: admitProgram.defaultAdmissionRule,
  noticeSlow: true
}

/**
 * Rules from a text: `baseline` or `winners`, then changes such as `winners,order=fifo,admit=none`. A change may
 * carry numbers of the rule: `order=weightedSlack:weightMs=2000`.
 */
export function parseRules (text: string): Rules {
  const [start = '', ...changes] = text.split(',')
  let rules = start === 'baseline' ? baseline : start === 'winners' ? winners : undefined
  if (rules === undefined) throw new Error(`unknown rules "${start}": give baseline or winners`)
  for (const change of changes) {
    const [matter = '', choice = ''] = split(change, '=')
    rules = applyChange(rules, matter, choice)
  }
  return rules
}

function applyChange (rules: Rules, matter: string, choice: string): Rules {
  switch (matter) {
    case 'order': return { ...rules, order: choose(orders, choice) }
    case 'place': return { ...rules, place: choose(places, choice) }
    case 'hold': return { ...rules, hold: choose(holds, choice) }
    case 'admit': return { ...rules, admit: choose(admissions, choice) }
    case 'noticeSlow': return { ...rules, noticeSlow: choice === 'yes' }
    default: throw new Error(`unknown matter "${matter}"`)
  }
}

function choose<Rule> (table: Readonly<Record<string, Rule>>, choice: string): Rule {
  const [name = '', ...numbers] = choice.split(':')
  const rule = table[name]
  if (rule === undefined) throw new Error(`unknown rule "${name}": one of ${Object.keys(table).join(', ')}`)
  const changed = Object.fromEntries(numbers.map((one) => {
    const [field = '', value = ''] = split(one, '=')
    return [field, value === 'yes' ? true : value === 'no' ? false : Number(value)]
  }))
  return { ...rule, ...changed }
}

/** Splits at the first separator only. */
function split (text: string, separator: string): readonly string[] {
  const at = text.indexOf(separator)
  return at < 0 ? [text] : [text.slice(0, at), text.slice(at + separator.length)]
}
