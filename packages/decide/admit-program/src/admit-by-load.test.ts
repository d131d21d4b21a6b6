import tap from 'tap'
import * as admitByLoad from './admit-by-load.js'

/** The simulation: slots that process turns in order of arrival, and programs of three turns with short pauses. Times in ms. */
const slots = 96
const turnMs = 300
const pauseMs = 60
const turnsOfProgram = 3
const idleMs = turnsOfProgram * turnMs + (turnsOfProgram - 1) * pauseMs
const objectiveMs = idleMs * 1.5 + 250
const stepMs = 10
/** Delay of load reports, in steps. */
const reportLagSteps = 80
const maxTries = 6

/** The offered load and the properties of the engines. */
interface Pattern {
  /** Share of the slots that programs use outside the burst. */
  readonly baseUse: number
  /** Factor of the arrival rate from second 5 to 11. */
  readonly burst: number
  /** A turn takes 1 + slowdownAtFullUse times as long while all slots are used. */
  readonly slowdownAtFullUse: number
  /** Number of programs whose prompts fit into the cache, as a share of the slots. */
  readonly cachedProgramsShare: number
  /** Time to prefill a prompt that was evicted from the cache. */
  readonly missMs: number
}

/** Engines limited by slots: turns do not slow one another, and no prompt is evicted. */
const slotBound: Pattern = { baseUse: 0.75, burst: 1.9, slowdownAtFullUse: 0, cachedProgramsShare: Infinity, missMs: 0 }
/** Engines limited by memory: they slow down with load, and their cache is full before their slots are. */
const memoryBound: Pattern = { baseUse: 0.35, burst: 1.9, slowdownAtFullUse: 0.6, cachedProgramsShare: 0.6, missMs: 300 }

interface Program {
  readonly startedAt: number
  turnsLeft: number
  attempts: number
  endedAt: number | undefined
}

interface RunningTurn {
  readonly program: Program
  leftMs: number
}

type AdmissionRule = (load: number, attempts: number, random: () => number) => boolean

function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

/** Simulates 25 s with a burst from second 5 to 11; returns the share of programs in time and the number finally refused. */
function simulateBurst (seed: number, pattern: Pattern, isAdmitted: AdmissionRule) {
  const random = createRandom(seed)
  const programs: Program[] = []
  const dueCallbacks = new Map<number, (() => void)[]>()
  const schedule = (step: number, run: () => void): void => { dueCallbacks.set(step, [...dueCallbacks.get(step) ?? [], run]) }
  const queuedPrograms: Program[] = []
  const loads: number[] = []
  let running: RunningTurn[] = []
  let activePrograms = 0
  let refusedCount = 0
  const tryAdmission = (program: Program, step: number): void => {
    if (isAdmitted(loads[Math.max(0, step - reportLagSteps)] ?? 0, program.attempts, random)) {
      activePrograms += 1
      queuedPrograms.push(program)
      return
    }
    program.attempts += 1
    if (program.attempts >= maxTries) refusedCount += 1
    else schedule(step + admitByLoad.loadRetryMs / stepMs, () => { tryAdmission(program, step + admitByLoad.loadRetryMs / stepMs) })
  }
  const computeWorkMs = (program: Program): number => {
    const missShare = program.turnsLeft === turnsOfProgram ? 0 : Math.max(0, 1 - pattern.cachedProgramsShare * slots / activePrograms)
    return turnMs + missShare * pattern.missMs
  }
  const endTurn = (program: Program, step: number): void => {
    program.turnsLeft -= 1
    if (program.turnsLeft > 0) return schedule(step + pauseMs / stepMs, () => { queuedPrograms.push(program) })
    program.endedAt = step
    activePrograms -= 1
  }
  const programsPerStep = pattern.baseUse * slots / turnMs / turnsOfProgram * stepMs
  for (let step = 0; step < 2_500; step += 1) {
    for (const run of dueCallbacks.get(step) ?? []) run()
    const rate = programsPerStep * (step >= 500 && step < 1_100 ? pattern.burst : 1)
    for (let draw = 0; draw < 10; draw += 1) {
      if (random() >= rate / 10) continue
      const program: Program = { startedAt: step, turnsLeft: turnsOfProgram, attempts: 0, endedAt: undefined }
      programs.push(program)
      tryAdmission(program, step)
    }
    while (running.length < slots && queuedPrograms.length > 0) {
      const program = queuedPrograms.shift()!
      running.push({ program, leftMs: computeWorkMs(program) })
    }
    const progressMs = stepMs / (1 + pattern.slowdownAtFullUse * running.length / slots)
    for (const turn of running) turn.leftMs -= progressMs
    for (const { program } of running.filter(({ leftMs }) => leftMs <= 0)) endTurn(program, step)
    running = running.filter(({ leftMs }) => leftMs > 0)
    loads.push((running.length + queuedPrograms.length) / slots)
  }
  const measuredPrograms = programs.filter(({ startedAt }) => startedAt < 2_000)
  const inTime = measuredPrograms.filter(({ startedAt, endedAt }) => endedAt !== undefined && (endedAt - startedAt) * stepMs <= objectiveMs)
  return { share: inTime.length / measuredPrograms.length, refused: refusedCount }
}

const createLoadRule = (holdsAllSlots: boolean): AdmissionRule => (load, _attempts, random) => admitByLoad.admitByLoad({ load, holdsAllSlots, random })
/** The rule for the limiting resource of these engines. */
const getRuleFor = (pattern: Pattern): AdmissionRule => createLoadRule(pattern.cachedProgramsShare >= 1)

/** Increase of the share of programs in time, compared with admitting all, by seed. */
function computeGains (pattern: Pattern): number[] {
  return [1, 2, 3, 4, 5, 6].map((seed) => simulateBurst(seed, pattern, getRuleFor(pattern)).share - simulateBurst(seed, pattern, () => true).share)
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

for (const [name, pattern, minGain] of [['slots', slotBound, 0.1], ['memory', memoryBound, 0.12]] as const) {
  tap.test(`in a burst on engines limited by ${name}, more programs finish in time than if all are admitted`, (t) => {
    const gains = computeGains(pattern)
    t.ok(gains.every((gain) => gain > 0), gains.map((gain) => gain.toFixed(2)).join())
    t.ok(computeMean(gains) > minGain, `mean gain ${computeMean(gains).toFixed(3)}`)
    t.end()
  })
}

tap.test('in a burst more programs finish in time if engines with enough memory for all slots get the higher load range', (t) => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
  for (const pattern of [slotBound, { ...slotBound, burst: 2.1 }, { ...slotBound, slowdownAtFullUse: 0.15 }]) {
    const computeShare = (rule: AdmissionRule): number => computeMean(seeds.map((seed) => simulateBurst(seed, pattern, rule).share))
    const withUpperRange = computeShare(createLoadRule(true))
    const withLowerRange = computeShare(createLoadRule(false))
    t.ok(withUpperRange > withLowerRange, `${withUpperRange.toFixed(3)} against ${withLowerRange.toFixed(3)}`)
  }
  t.end()
})

tap.test('no program is finally refused without a burst, and none at all at low load', (t) => {
  for (const seed of [1, 2, 3]) t.equal(simulateBurst(seed, { ...slotBound, baseUse: 0.6, burst: 1 }, getRuleFor(slotBound)).refused, 0)
  for (const seed of [1, 2, 3]) t.equal(simulateBurst(seed, { ...memoryBound, burst: 1 }, getRuleFor(memoryBound)).refused, 0)
  t.ok(admitByLoad.admitByLoad({ load: 0.6, holdsAllSlots: false, random: () => 0.999 }))
  t.end()
})

tap.test('the admission probability falls with the load and never reaches 0', (t) => {
  const admitted = (load: number): boolean => admitByLoad.admitByLoad({ load, holdsAllSlots: false, random: () => 0.5 })
  t.same([admitted(0.8), admitted(0.9)], [true, false])
  t.ok(admitByLoad.admitByLoad({ load: 99, holdsAllSlots: false, random: () => 0.04 }))
  t.end()
})
