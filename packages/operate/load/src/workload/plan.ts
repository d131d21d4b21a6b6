/** Plans seeded programs: when each is offered, and what it does, which the system cannot know beforehand. */
import * as deployments from './deployments.js'
import * as random from './random.js'

export type PlannedCall =
  | { readonly type: 'model', readonly addedTokens: number, readonly maxTokens: number }
  | { readonly type: 'service', readonly path: string, readonly idempotent: boolean, readonly timeoutMs: number | null, readonly askAgain: boolean }

export interface PlannedStep {
  readonly call: PlannedCall
  /** Calls of a sub-agent, which run in a branch of their own after the call; empty for none. */
  readonly subAgent: readonly PlannedCall[]
  readonly pauseMs: number
}

/** How a program ends if nothing fails. */
export type Fate = 'finishes' | 'abandoned' | 'loops'

export interface PlannedProgram {
  readonly index: number
  readonly kind: string
  readonly weight: number
  readonly fate: Fate
  /** From the start of the run, in milliseconds; so is the deadline. */
  readonly offeredAtMs: number
  readonly deadlineMs: number
  /** Wall-time budget, in milliseconds. */
  readonly wallMs: number
  readonly steps: readonly PlannedStep[]
}

export interface WorkloadSettings {
  readonly deployment: deployments.Deployment
  readonly seed: number
  /** Programs offered in a second, on average. */
  readonly rate: number
  /** For how long programs are offered. */
  readonly seconds: number
  /** Multiplies pauses, timeouts and deadlines, for engines that are so much faster; 1 for the times of the deployment. */
  readonly timeScale: number
}

/** Share of programs whose deadline is the start of a common event. */
const eventShare = 0.25
const eventEveryMs = 240_000
const leastAllowance = 1.4
/** Mean of the further time that other deadlines leave, as a multiple of the time alone. */
const meanSpare = 0.9
const deadlineBaseMs = 5_000
const wallFactor = 2.5
/** Longest wall-time budget, in milliseconds; the configuration of a kind must allow it. */
const maxWallMs = 3_600_000
/** Speed of an idle engine at time scale 1, from which deadlines are worked out. */
const decodeTokensPerSecond = 50
const prefillTokensPerSecond = 4_000
/** Share of the orders that their callers send again under the same key. */
const askAgainShare = 0.2
const subAgentPromptFactor = 4
const mostSubAgentCalls = 3
/** Calls of a looping program beyond its budget. */
const callsBeyondBudget = 5

/** Programs in the order in which they are offered; arrivals are a Poisson process. */
export function planWorkload (settings: WorkloadSettings): readonly PlannedProgram[] {
  const arrivals = random.createRandom(settings.seed, 0)
  const programs: PlannedProgram[] = []
  for (let at = arrivals.exponential(1000 / settings.rate); at < settings.seconds * 1000; at += arrivals.exponential(1000 / settings.rate)) {
    programs.push(planProgram(settings, programs.length, at))
  }
  return programs
}

function planProgram (settings: WorkloadSettings, index: number, offeredAtMs: number): PlannedProgram {
  const rnd = random.createRandom(settings.seed, index + 1)
  const profile = pickKind(settings.deployment.kinds, rnd.uniform())
  const fate = pickFate(profile, rnd)
  const steps = planSteps(settings, profile, fate, rnd)
  const aloneMs = stepsAloneMs(steps, settings.timeScale)
  const allowanceMs = planAllowance(settings, rnd, offeredAtMs, aloneMs)
  return {
    index,
    kind: profile.kind,
    weight: profile.weight,
    fate,
    offeredAtMs,
    deadlineMs: offeredAtMs + allowanceMs,
    wallMs: Math.min(maxWallMs, Math.ceil(wallFactor * allowanceMs)),
    steps: fate === 'abandoned' ? steps.slice(0, 1 + Math.floor(rnd.uniform() * steps.length)) : steps
  }
}

function pickKind (kinds: readonly deployments.KindProfile[], drawn: number): deployments.KindProfile {
  let upTo = 0
  for (const profile of kinds) {
    upTo += profile.share
    if (drawn < upTo) return profile
  }
  return kinds[kinds.length - 1]!
}

function pickFate (profile: deployments.KindProfile, rnd: random.Random): Fate {
  if (rnd.chance(profile.loops)) return 'loops'
  return rnd.chance(profile.abandoned) ? 'abandoned' : 'finishes'
}

function planSteps (settings: WorkloadSettings, profile: deployments.KindProfile, fate: Fate, rnd: random.Random): PlannedStep[] {
  const turns = fate === 'loops' ? deployments.budgetCalls + callsBeyondBudget : Math.max(1, Math.round(rnd.draw(profile.turns)))
  const steps: PlannedStep[] = []
  for (let turn = 0; turn < turns; turn += 1) {
    const prompt = turn === 0 ? profile.firstPrompt : profile.addedPrompt
    const call = modelCall(rnd.draw(prompt), rnd.draw(profile.generated))
    const subAgent = rnd.chance(profile.subAgent) ? planSubAgent(profile, rnd) : []
    steps.push({ call, subAgent, pauseMs: rnd.draw(profile.pauseMs) * settings.timeScale })
    if (rnd.chance(profile.toolHangs)) steps.push(hungTool(settings.timeScale))
  }
  if (profile.order !== null && fate === 'finishes') steps.push(planOrder(profile.order, rnd))
  return steps
}

function modelCall (addedTokens: number, maxTokens: number): PlannedCall {
  return { type: 'model', addedTokens: Math.max(1, Math.round(addedTokens)), maxTokens: Math.max(1, Math.round(maxTokens)) }
}

function hungTool (timeScale: number): PlannedStep {
  const timeoutMs = Math.ceil(deployments.toolTimeoutMs * timeScale)
  return { call: { type: 'service', path: deployments.hangPath, idempotent: false, timeoutMs, askAgain: false }, subAgent: [], pauseMs: 0 }
}

function planOrder (order: deployments.ServiceUse, rnd: random.Random): PlannedStep {
  return { call: { type: 'service', ...order, timeoutMs: null, askAgain: rnd.chance(askAgainShare) }, subAgent: [], pauseMs: 0 }
}

/** One to three short calls, after what it asks the service. */
function planSubAgent (profile: deployments.KindProfile, rnd: random.Random): PlannedCall[] {
  const calls = 1 + Math.floor(rnd.uniform() * mostSubAgentCalls)
  const models = Array.from({ length: calls }, (_, at) => modelCall(rnd.draw(profile.addedPrompt) * (at === 0 ? subAgentPromptFactor : 1), rnd.draw(profile.generated) / 2))
  if (profile.subAgentUse === null) return models
  return [{ type: 'service', ...profile.subAgentUse, timeoutMs: null, askAgain: false }, ...models]
}

function stepsAloneMs (steps: readonly PlannedStep[], timeScale: number): number {
  return steps.reduce((sum, { call, subAgent, pauseMs }) => sum + pauseMs + [call, ...subAgent].reduce((ms, one) => ms + callAloneMs(one, timeScale), 0), 0)
}

function callAloneMs (call: PlannedCall, timeScale: number): number {
  if (call.type === 'service') return call.timeoutMs ?? 0
  return 1000 * timeScale * (call.addedTokens / prefillTokensPerSecond + call.maxTokens / decodeTokensPerSecond)
}

function planAllowance (settings: WorkloadSettings, rnd: random.Random, offeredAtMs: number, aloneMs: number): number {
  const least = deadlineBaseMs * settings.timeScale + leastAllowance * aloneMs
  const spare = rnd.exponential(meanSpare * aloneMs)
  if (!rnd.chance(eventShare)) return least + spare
  const every = eventEveryMs * settings.timeScale
  return Math.ceil((offeredAtMs + least) / every) * every - offeredAtMs
}
