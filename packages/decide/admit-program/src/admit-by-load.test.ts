import tap from 'tap'
import * as admitByLoad from './admit-by-load.js'

/** A pool of slots that takes turns in the order of their arrival; programs of three turns with short pauses. Times in ms. */
const slots = 96
const turnMs = 300
const pauseMs = 60
const turnsOfProgram = 3
const idleMs = turnsOfProgram * turnMs + (turnsOfProgram - 1) * pauseMs
const objectiveMs = idleMs * 1.5 + 250
const stepMs = 10
/** Loads are heard this late. */
const lagSteps = 80
const mostTries = 6

/** The load, and what the engines are like. */
interface Pattern {
  /** Share of the slots that programs use outside of the burst. */
  readonly busy: number
  /** From second 5 to 11 so many times as many programs come. */
  readonly burst: number
  /** A turn takes 1 + slowing times its time while all slots are used. */
  readonly slowing: number
  /** Programs whose prompts the memory holds, as a share of the slots. */
  readonly memory: number
  /** Time to read a prompt again that is not held any more. */
  readonly missMs: number
}

/** Engines whose turns do not disturb one another, and which forget nothing. */
const roomy: Pattern = { busy: 0.75, burst: 1.9, slowing: 0, memory: Infinity, missMs: 0 }
/** Engines that slow with use, and whose memory binds before their slots do. */
const tight: Pattern = { busy: 0.35, burst: 1.9, slowing: 0.6, memory: 0.6, missMs: 300 }

interface Program {
  readonly startedAt: number
  turnsLeft: number
  tries: number
  endedAt: number | undefined
}

interface RunningTurn {
  readonly program: Program
  leftMs: number
}

type Rule = (load: number, tries: number, random: () => number) => boolean

function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

/** Plays 25 s with a burst from second 5 to 11; gives the share of programs in time and the number refused for good. */
function play (seed: number, pattern: Pattern, isAdmitted: Rule) {
  const random = createRandom(seed)
  const programs: Program[] = []
  const due = new Map<number, (() => void)[]>()
  const at = (step: number, run: () => void): void => { due.set(step, [...due.get(step) ?? [], run]) }
  const waiting: Program[] = []
  const loads: number[] = []
  let running: RunningTurn[] = []
  let live = 0
  let refused = 0
  const ask = (program: Program, step: number): void => {
    if (isAdmitted(loads[Math.max(0, step - lagSteps)] ?? 0, program.tries, random)) {
      live += 1
      waiting.push(program)
      return
    }
    program.tries += 1
    if (program.tries >= mostTries) refused += 1
    else at(step + admitByLoad.loadRetryMs / stepMs, () => { ask(program, step + admitByLoad.loadRetryMs / stepMs) })
  }
  const workOf = (program: Program): number => {
    const missed = program.turnsLeft === turnsOfProgram ? 0 : Math.max(0, 1 - pattern.memory * slots / live)
    return turnMs + missed * pattern.missMs
  }
  const endTurn = (program: Program, step: number): void => {
    program.turnsLeft -= 1
    if (program.turnsLeft > 0) return at(step + pauseMs / stepMs, () => { waiting.push(program) })
    program.endedAt = step
    live -= 1
  }
  const perStep = pattern.busy * slots / turnMs / turnsOfProgram * stepMs
  for (let step = 0; step < 2_500; step += 1) {
    for (const run of due.get(step) ?? []) run()
    const rate = perStep * (step >= 500 && step < 1_100 ? pattern.burst : 1)
    for (let draw = 0; draw < 10; draw += 1) {
      if (random() >= rate / 10) continue
      const program: Program = { startedAt: step, turnsLeft: turnsOfProgram, tries: 0, endedAt: undefined }
      programs.push(program)
      ask(program, step)
    }
    while (running.length < slots && waiting.length > 0) {
      const program = waiting.shift()!
      running.push({ program, leftMs: workOf(program) })
    }
    const doneMs = stepMs / (1 + pattern.slowing * running.length / slots)
    for (const turn of running) turn.leftMs -= doneMs
    for (const { program } of running.filter(({ leftMs }) => leftMs <= 0)) endTurn(program, step)
    running = running.filter(({ leftMs }) => leftMs > 0)
    loads.push((running.length + waiting.length) / slots)
  }
  const counted = programs.filter(({ startedAt }) => startedAt < 2_000)
  const inTime = counted.filter(({ startedAt, endedAt }) => endedAt !== undefined && (endedAt - startedAt) * stepMs <= objectiveMs)
  return { share: inTime.length / counted.length, refused }
}

const byLoad = (holdsAllSlots: boolean): Rule => (load, _tries, random) => admitByLoad.admitByLoad({ load, holdsAllSlots, random })
/** The rule as it fits the engines. */
const fitting = (pattern: Pattern): Rule => byLoad(pattern.memory >= 1)

/** By how much more programs finish in time than if all are admitted, by seed. */
function gainsOf (pattern: Pattern): number[] {
  return [1, 2, 3, 4, 5, 6].map((seed) => play(seed, pattern, fitting(pattern)).share - play(seed, pattern, () => true).share)
}

function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

for (const [name, pattern, least] of [['slots', roomy, 0.1], ['memory', tight, 0.12]] as const) {
  tap.test(`in a burst on engines that ${name} bind, more programs finish in time than if all are admitted`, (t) => {
    const gains = gainsOf(pattern)
    t.ok(gains.every((gain) => gain > 0), gains.map((gain) => gain.toFixed(2)).join())
    t.ok(meanOf(gains) > least, `mean gain ${meanOf(gains).toFixed(3)}`)
    t.end()
  })
}

tap.test('in a burst more programs finish in time where engines that hold all their slots are filled further', (t) => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
  for (const pattern of [roomy, { ...roomy, burst: 2.1 }, { ...roomy, slowing: 0.15 }]) {
    const shareOf = (rule: Rule): number => meanOf(seeds.map((seed) => play(seed, pattern, rule).share))
    const further = shareOf(byLoad(true))
    const cautious = shareOf(byLoad(false))
    t.ok(further > cautious, `${further.toFixed(3)} against ${cautious.toFixed(3)}`)
  }
  t.end()
})

tap.test('nobody is refused for good in calm hours, and none at all below the usual load', (t) => {
  for (const seed of [1, 2, 3]) t.equal(play(seed, { ...roomy, busy: 0.6, burst: 1 }, fitting(roomy)).refused, 0)
  for (const seed of [1, 2, 3]) t.equal(play(seed, { ...tight, burst: 1 }, fitting(tight)).refused, 0)
  t.ok(admitByLoad.admitByLoad({ load: 0.6, holdsAllSlots: false, random: () => 0.999 }))
  t.end()
})

tap.test('the chance falls with the load, and nobody is shut out', (t) => {
  const admitted = (load: number): boolean => admitByLoad.admitByLoad({ load, holdsAllSlots: false, random: () => 0.5 })
  t.same([admitted(0.8), admitted(0.9)], [true, false])
  t.ok(admitByLoad.admitByLoad({ load: 99, holdsAllSlots: false, random: () => 0.04 }))
  t.end()
})
