/**
 * The kinds of programs of both deployments. Kinds and distributions are those of the decision rules' comparison in
 * packages/testing/model-engines, which a shipped package may not import; keep the numbers the same.
 */
import type * as random from './random.js'

export type DeploymentName = 'dimasalang' | 'shagyl'

/** A call to the plain service of the deployment. */
export interface ServiceUse {
  readonly path: string
  readonly idempotent: boolean
}

export interface KindProfile {
  readonly kind: string
  readonly weight: number
  /** Share of all programs. */
  readonly share: number
  /** Tokens of the first prompt. */
  readonly firstPrompt: random.Spread
  readonly turns: random.Spread
  /** Tokens that each further call adds to the prompt: a person's reply or a tool's answer. */
  readonly addedPrompt: random.Spread
  /** Most tokens that a call generates. */
  readonly generated: random.Spread
  /** Pause after each call for a tool or a person, in milliseconds. */
  readonly pauseMs: random.Spread
  /** Probability, for each call, of a sub-agent that runs before the main line goes on. */
  readonly subAgent: number
  /** What a sub-agent asks the service first; null for nothing. */
  readonly subAgentUse: ServiceUse | null
  /** What the program orders at its end; null for nothing. */
  readonly order: ServiceUse | null
  /** Probability, for each call, that a tool hangs after it. */
  readonly toolHangs: number
  /** Probability that the program loops until its budget ends. */
  readonly loops: number
  /** Probability that its caller goes away for good. */
  readonly abandoned: number
}

export interface Deployment {
  readonly name: DeploymentName
  readonly model: string
  readonly service: string
  readonly kinds: readonly KindProfile[]
}

/** Calls after which the budget ends a program that loops. */
export const budgetCalls = 60
export const toolTimeoutMs = 20_000
/** Path of the tool that hangs. */
export const hangPath = '/hang'

const quickQuote: KindProfile = {
  kind: 'quick-quote',
  weight: 1,
  share: 0.65,
  firstPrompt: { median: 1_400, sigma: 0.3, max: 6_000 },
  turns: { median: 2.5, sigma: 0.5, max: 12 },
  addedPrompt: { median: 150, sigma: 0.6, max: 2_000 },
  generated: { median: 120, sigma: 0.6, max: 1_000 },
  pauseMs: { median: 1_500, sigma: 0.8, max: 30_000 },
  subAgent: 0.05,
  subAgentUse: null,
  order: null,
  toolHangs: 0.004,
  loops: 0.005,
  abandoned: 0.06
}

const rosterWalk: KindProfile = {
  kind: 'roster-walk',
  weight: 2,
  share: 0.35,
  firstPrompt: { median: 2_000, sigma: 0.3, max: 8_000 },
  turns: { median: 12, sigma: 0.6, max: budgetCalls },
  addedPrompt: { median: 120, sigma: 0.7, max: 3_000 },
  generated: { median: 90, sigma: 0.6, max: 800 },
  pauseMs: { median: 4_000, sigma: 0.9, max: 60_000 },
  subAgent: 0.12,
  subAgentUse: { path: '/stock', idempotent: true },
  order: { path: '/print', idempotent: false },
  toolHangs: 0.004,
  loops: 0.01,
  abandoned: 0.08
}

const intakeChat: KindProfile = {
  kind: 'intake-chat',
  weight: 1,
  share: 0.6,
  firstPrompt: { median: 1_800, sigma: 0.3, max: 8_000 },
  turns: { median: 6, sigma: 0.6, max: 40 },
  addedPrompt: { median: 120, sigma: 0.7, max: 3_000 },
  generated: { median: 150, sigma: 0.6, max: 1_200 },
  pauseMs: { median: 6_000, sigma: 0.9, max: 90_000 },
  subAgent: 0.03,
  subAgentUse: null,
  order: null,
  toolHangs: 0.003,
  loops: 0.005,
  abandoned: 0.1
}

const mentorConsultation: KindProfile = {
  kind: 'mentor-consultation',
  weight: 4,
  share: 0.25,
  firstPrompt: { median: 4_000, sigma: 0.4, max: 20_000 },
  turns: { median: 8, sigma: 0.7, max: budgetCalls },
  addedPrompt: { median: 250, sigma: 0.8, max: 6_000 },
  generated: { median: 250, sigma: 0.6, max: 2_000 },
  pauseMs: { median: 5_000, sigma: 0.9, max: 60_000 },
  subAgent: 0.15,
  subAgentUse: { path: '/schools', idempotent: true },
  order: null,
  toolHangs: 0.004,
  loops: 0.01,
  abandoned: 0.03
}

const schoolBooking: KindProfile = {
  kind: 'school-booking',
  weight: 2,
  share: 0.15,
  firstPrompt: { median: 1_500, sigma: 0.3, max: 6_000 },
  turns: { median: 3, sigma: 0.4, max: 12 },
  addedPrompt: { median: 200, sigma: 0.6, max: 2_000 },
  generated: { median: 100, sigma: 0.5, max: 600 },
  pauseMs: { median: 2_000, sigma: 0.8, max: 30_000 },
  subAgent: 0.02,
  subAgentUse: null,
  order: { path: '/book', idempotent: false },
  toolHangs: 0.01,
  loops: 0.002,
  abandoned: 0.03
}

export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
  dimasalang: { name: 'dimasalang', model: 'quote-8b', service: 'kit-orders', kinds: [quickQuote, rosterWalk] },
  shagyl: { name: 'shagyl', model: 'mentor-8b', service: 'placements', kinds: [intakeChat, mentorConsultation, schoolBooking] }
}
