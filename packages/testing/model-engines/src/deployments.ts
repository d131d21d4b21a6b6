/** The two deployments of the brief: kinds of programs, and the engines that serve them. */
import type * as types from '@eelgrasswind/types'
import type * as fakeEngine from './fake-engine.js'

/** A log-normal distribution, cut at a maximum. */
export interface Spread {
  readonly median: number
  readonly sigma: number
  readonly max: number
}

/** How programs of a kind behave. */
export interface KindProfile {
  readonly kind: types.KindId
  readonly weight: number
  /** Share of all programs. */
  readonly share: number
  /** Tokens of the first prompt. */
  readonly firstPrompt: Spread
  readonly turns: Spread
  /** Tokens that each further call adds to the prompt: a person's reply or a tool's answer. */
  readonly addedPrompt: Spread
  readonly generated: Spread
  /** Pause after each call for a tool or a person, in milliseconds. */
  readonly pauseMs: Spread
  /** Probability, for each call, of a sub-agent that runs before the main line goes on. */
  readonly subAgent: number
  /** Probability, for each call, that its tool hangs until its timeout. */
  readonly toolHangs: number
  /** Probability that the program loops until its budget ends. */
  readonly loops: number
  /** Probability that the caller goes away for good in a pause. */
  readonly abandoned: number
  /** Least time that the deadline leaves, as a multiple of the program's time alone on an idle engine. */
  readonly leastAllowance: number
}

export interface Deployment {
  readonly name: 'dimasalang' | 'shagyl'
  readonly availabilityZones: readonly types.AvailabilityZoneId[]
  readonly engines: number
  readonly engine: fakeEngine.EngineSettings
  readonly kinds: readonly KindProfile[]
}

/** Calls after which the budget ends a program that loops. */
export const budgetCalls = 60
export const toolTimeoutMs = 20_000

const engine: fakeEngine.EngineSettings = {
  slots: 16,
  decodeTokensPerSecond: 50,
  slowdownPerStream: 0.06,
  prefillTokensPerSecond: 4_000,
  prefillShare: 0.5,
  cacheTokens: 160_000,
  tickMs: 100
}

const quickQuote: KindProfile = {
  kind: 'quick-quote' as types.KindId,
  weight: 1,
  share: 0.65,
  firstPrompt: { median: 1_400, sigma: 0.3, max: 6_000 },
  turns: { median: 2.5, sigma: 0.5, max: 12 },
  addedPrompt: { median: 150, sigma: 0.6, max: 2_000 },
  generated: { median: 120, sigma: 0.6, max: 1_000 },
  pauseMs: { median: 1_500, sigma: 0.8, max: 30_000 },
  subAgent: 0.05,
  toolHangs: 0.004,
  loops: 0.005,
  abandoned: 0.06,
  leastAllowance: 1.4
}

const rosterWalk: KindProfile = {
  kind: 'roster-walk' as types.KindId,
  weight: 2,
  share: 0.35,
  firstPrompt: { median: 2_000, sigma: 0.3, max: 8_000 },
  turns: { median: 12, sigma: 0.6, max: budgetCalls },
  addedPrompt: { median: 120, sigma: 0.7, max: 3_000 },
  generated: { median: 90, sigma: 0.6, max: 800 },
  pauseMs: { median: 4_000, sigma: 0.9, max: 60_000 },
  subAgent: 0.12,
  toolHangs: 0.004,
  loops: 0.01,
  abandoned: 0.08,
  leastAllowance: 1.4
}

const intakeChat: KindProfile = {
  kind: 'intake-chat' as types.KindId,
  weight: 1,
  share: 0.6,
  firstPrompt: { median: 1_800, sigma: 0.3, max: 8_000 },
  turns: { median: 6, sigma: 0.6, max: 40 },
  addedPrompt: { median: 120, sigma: 0.7, max: 3_000 },
  generated: { median: 150, sigma: 0.6, max: 1_200 },
  pauseMs: { median: 6_000, sigma: 0.9, max: 90_000 },
  subAgent: 0.03,
  toolHangs: 0.003,
  loops: 0.005,
  abandoned: 0.1,
  leastAllowance: 1.4
}

const mentorConsultation: KindProfile = {
  kind: 'mentor-consultation' as types.KindId,
  weight: 4,
  share: 0.25,
  firstPrompt: { median: 4_000, sigma: 0.4, max: 20_000 },
  turns: { median: 8, sigma: 0.7, max: budgetCalls },
  addedPrompt: { median: 250, sigma: 0.8, max: 6_000 },
  generated: { median: 250, sigma: 0.6, max: 2_000 },
  pauseMs: { median: 5_000, sigma: 0.9, max: 60_000 },
  subAgent: 0.15,
  toolHangs: 0.004,
  loops: 0.01,
  abandoned: 0.03,
  leastAllowance: 1.4
}

const schoolBooking: KindProfile = {
  kind: 'school-booking' as types.KindId,
  weight: 2,
  share: 0.15,
  firstPrompt: { median: 1_500, sigma: 0.3, max: 6_000 },
  turns: { median: 3, sigma: 0.4, max: 12 },
  addedPrompt: { median: 200, sigma: 0.6, max: 2_000 },
  generated: { median: 100, sigma: 0.5, max: 600 },
  pauseMs: { median: 2_000, sigma: 0.8, max: 30_000 },
  subAgent: 0.02,
  toolHangs: 0.01,
  loops: 0.002,
  abandoned: 0.03,
  leastAllowance: 1.4
}

export const deployments: Readonly<Record<Deployment['name'], Deployment>> = {
  dimasalang: {
    name: 'dimasalang',
    availabilityZones: ['makati-a', 'makati-b', 'pasig-a', 'pasig-b'] as types.AvailabilityZoneId[],
    engines: 6,
    engine,
    kinds: [quickQuote, rosterWalk]
  },
  shagyl: {
    name: 'shagyl',
    availabilityZones: ['almaty-a', 'almaty-b', 'almaty-c'] as types.AvailabilityZoneId[],
    engines: 6,
    engine,
    kinds: [intakeChat, mentorConsultation, schoolBooking]
  }
}
