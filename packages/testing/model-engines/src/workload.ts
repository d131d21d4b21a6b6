/** Seeded programs: when each is offered, and what it will do, which no rule can see. */
import type * as types from '@eelgrasswind/types'
import * as deploymentTable from './deployments.js'
import * as randoms from './random.js'

/** One call to a model and what follows it. */
export interface Step {
  /** Tokens added to the history before the call. */
  readonly addedTokens: number
  readonly generatedTokens: number
  /** A sub-agent that runs after the call, before the pause; empty for none. */
  readonly subAgent: readonly Step[]
  readonly pauseMs: number
}

/** How a program would end if nothing failed. */
export type Fate = 'finishes' | 'abandoned' | 'loops'

export interface Script {
  readonly program: types.ProgramId
  readonly profile: deploymentTable.KindProfile
  /** When it is offered, in milliseconds from the start of the run. */
  readonly offeredAt: number
  readonly deadline: number
  /** When its wall-time budget ends. */
  readonly expiresAt: number
  readonly steps: readonly Step[]
  readonly fate: Fate
  /** Time it would take alone on an idle engine, in milliseconds. */
  readonly aloneMs: number
}

export interface WorkloadSettings {
  readonly deployment: deploymentTable.Deployment
  readonly seed: number
  /** Offered work as a share of capacity; see `capacityPerSecond`. */
  readonly load: number
  readonly arrivalsMs: number
  /** Arrivals are multiplied in this span; undefined for none. */
  readonly burst: { readonly fromMs: number, readonly toMs: number, readonly factor: number } | undefined
}

/** Share of programs whose deadline is the start of a common event. */
const eventShare = 0.25
const eventEveryMs = 240_000
/** Mean of the further time that other deadlines leave, as a multiple of the time alone. */
const meanSpare = 0.9
const deadlineBaseMs = 5_000
/** The wall-time budget, as a multiple of the time to the deadline. */
const wallFactor = 2.5
/** Programs of the sample that capacity is worked out from. */
const capacitySample = 4_000
const capacitySeed = 424_242
const capacities = new WeakMap<deploymentTable.Deployment, number>()

export function createScripts (settings: WorkloadSettings): Script[] {
  const arrivals = randoms.createRandom(settings.seed)
  const rate = settings.load * capacityPerSecond(settings.deployment) / 1000
  const scripts: Script[] = []
  let at = 0
  for (;;) {
    at += arrivals.exponential(1 / (rate * burstFactor(settings.burst, at)))
    if (at >= settings.arrivalsMs) return scripts
    scripts.push(createScript(settings.deployment, settings.seed, scripts.length, at))
  }
}

function burstFactor (burst: WorkloadSettings['burst'], at: number): number {
  return burst !== undefined && at >= burst.fromMs && at < burst.toMs ? burst.factor : 1
}

/**
 * Programs a second that the engines can just carry if every token of a prompt is computed once, every batch is
 * full and no slot is ever idle. Nothing can do better, and recomputed prefixes come on top; so a load of 1 is a
 * bound that no rule sustains for ever.
 */
export function capacityPerSecond (deployment: deploymentTable.Deployment): number {
  const known = capacities.get(deployment)
  if (known !== undefined) return known
  let engineSeconds = 0
  for (let index = 0; index < capacitySample; index += 1) {
    engineSeconds += engineSecondsOf(deployment, createScript(deployment, capacitySeed, index, 0))
  }
  const perSecond = deployment.engines * capacitySample / engineSeconds
  capacities.set(deployment, perSecond)
  return perSecond
}

function engineSecondsOf (deployment: deploymentTable.Deployment, script: Script): number {
  const { slots, decodeTokensPerSecond, slowdownPerStream, prefillTokensPerSecond } = deployment.engine
  const fullBatch = slots * decodeTokensPerSecond / (1 + slowdownPerStream * (slots - 1))
  const work = sumOf(script.steps)
  return work.added / prefillTokensPerSecond + work.generated / fullBatch
}

function sumOf (steps: readonly Step[]): { added: number, generated: number } {
  const sum = { added: 0, generated: 0 }
  for (const step of steps) {
    const below = sumOf(step.subAgent)
    sum.added += step.addedTokens + below.added
    sum.generated += step.generatedTokens + below.generated
  }
  return sum
}

function createScript (deployment: deploymentTable.Deployment, seed: number, index: number, offeredAt: number): Script {
  const random = randoms.createRandom(seed, index + 1)
  const profile = pickKind(deployment.kinds, random.uniform())
  const fate = random.chance(profile.loops) ? 'loops' : random.chance(profile.abandoned) ? 'abandoned' : 'finishes'
  const turns = fate === 'loops' ? deploymentTable.budgetCalls : Math.max(1, Math.round(draw(profile.turns, random)))
  const steps = Array.from({ length: turns }, (_, at) => createStep(profile, random, at === 0))
  const aloneMs = aloneMsOf(deployment, steps)
  const deadline = offeredAt + allowanceMs(profile, random, offeredAt, aloneMs)
  return {
    program: `p${index}` as types.ProgramId,
    profile,
    offeredAt,
    deadline,
    expiresAt: offeredAt + wallFactor * (deadline - offeredAt),
    steps: fate === 'abandoned' ? steps.slice(0, 1 + Math.floor(random.uniform() * steps.length)) : steps,
    fate,
    aloneMs
  }
}

function pickKind (kinds: readonly deploymentTable.KindProfile[], drawn: number): deploymentTable.KindProfile {
  let left = drawn
  for (const profile of kinds) {
    left -= profile.share
    if (left < 0) return profile
  }
  return kinds[kinds.length - 1]!
}

function draw (spread: deploymentTable.Spread, random: randoms.Random): number {
  return Math.min(spread.max, random.logNormal(spread.median, spread.sigma))
}

function createStep (profile: deploymentTable.KindProfile, random: randoms.Random, isFirst: boolean): Step {
  const hangs = random.chance(profile.toolHangs)
  const pauseMs = draw(profile.pauseMs, random)
  return {
    addedTokens: Math.round(draw(isFirst ? profile.firstPrompt : profile.addedPrompt, random)),
    generatedTokens: Math.max(1, Math.round(draw(profile.generated, random))),
    subAgent: random.chance(profile.subAgent) ? createSubAgent(profile, random) : [],
    pauseMs: hangs ? deploymentTable.toolTimeoutMs : pauseMs
  }
}

/** One to three calls, with a short prompt of its own and no sub-agents below. */
function createSubAgent (profile: deploymentTable.KindProfile, random: randoms.Random): Step[] {
  const calls = 1 + Math.floor(random.uniform() * 3)
  return Array.from({ length: calls }, (_, at) => ({
    addedTokens: Math.round(draw(profile.addedPrompt, random) * (at === 0 ? 4 : 1)),
    generatedTokens: Math.max(1, Math.round(draw(profile.generated, random) / 2)),
    subAgent: [],
    pauseMs: Math.min(5_000, random.exponential(700))
  }))
}

function aloneMsOf (deployment: deploymentTable.Deployment, steps: readonly Step[]): number {
  const { decodeTokensPerSecond, prefillTokensPerSecond } = deployment.engine
  let ms = 0
  for (const step of steps) {
    ms += 1000 * (step.addedTokens / prefillTokensPerSecond + step.generatedTokens / decodeTokensPerSecond)
    ms += aloneMsOf(deployment, step.subAgent) + step.pauseMs
  }
  return ms
}

function allowanceMs (profile: deploymentTable.KindProfile, random: randoms.Random, offeredAt: number, aloneMs: number): number {
  const least = deadlineBaseMs + profile.leastAllowance * aloneMs
  const spare = random.exponential(meanSpare * aloneMs)
  if (!random.chance(eventShare)) return least + spare
  const nextEvent = Math.ceil((offeredAt + least) / eventEveryMs) * eventEveryMs
  return nextEvent - offeredAt
}
