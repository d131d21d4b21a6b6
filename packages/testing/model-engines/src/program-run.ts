/** Walks one program through its script at its home. */
import * as admitProgram from '@eelgrasswind/admit-program'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as orderQueue from '@eelgrasswind/order-queue'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as homes from './home.js'
import type * as measures from './measures.js'
import type * as workload from './workload.js'

/** Time from the last answer to the caller's finish. */
const finishMs = 300
const mostTries = 2

/** Offers a program to its home, twice if need be, and runs it. */
export function offerProgram (world: homes.World, home: homes.Home, script: workload.Script, tries = 1): void {
  const now = world.timers.now()
  const decision = home.decideAdmission(script)
  if (decision.type === 'admit') {
    new ProgramRun(world, home, script, tries).begin()
    return
  }
  if (tries < mostTries && now + decision.retryAfterMs < script.deadline) {
    world.timers.after(decision.retryAfterMs, () => offerProgram(world, home, script, tries + 1))
    return
  }
  world.recorder.results.push({ script, end: 'refused', latencyMs: now - script.offeredAt, tries })
}

/** State of one branch: the main line, or a sub-agent. */
interface Branch {
  readonly prefix: string
  readonly isSubAgent: boolean
  tokens: number
}

class ProgramRun {
  readonly #world: homes.World
  readonly #home: homes.Home
  readonly #script: workload.Script
  readonly #tries: number
  readonly #retries = { budget: limitClient.createRetryBudget(limitClient.programRetrySettings) }
  readonly #branches: Branch[] = []
  readonly #turns: orderQueue.TurnWork[] = []
  #attainedTokens = 0
  #demand = 0
  /** Work of the current turn, sub-agents included. */
  #turnTokens = 0
  #turnRunMs = 0
  #running: homes.RunningCall | undefined
  #pause: timerService.Subscription | undefined
  #silence: timerService.Subscription | undefined
  #expiry: timerService.Subscription | undefined

  constructor (world: homes.World, home: homes.Home, script: workload.Script, tries: number) {
    this.#world = world
    this.#home = home
    this.#script = script
    this.#tries = tries
  }

  begin (): void {
    const { timers } = this.#world
    this.#expiry = timers.after(this.#script.expiresAt - timers.now(), () => this.#end('expired'))
    this.#expectRest()
    this.#runSteps(this.#branch('main', false), this.#script.steps, () => this.#scriptEnded())
  }

  #branch (name: string, isSubAgent: boolean): Branch {
    const branch = { prefix: `${this.#script.program}/${name}`, isSubAgent, tokens: 0 }
    this.#branches.push(branch)
    return branch
  }

  #runSteps (branch: Branch, steps: readonly workload.Step[], done: () => void, at = 0): void {
    const step = steps[at]
    if (step === undefined) {
      done()
      return
    }
    const isLast = at === steps.length - 1
    this.#call(branch, step, () => {
      this.#afterCall(branch, step, () => {
        const pauseMs = isLast && !branch.isSubAgent ? finishMs : step.pauseMs
        this.#pause = this.#world.timers.after(pauseMs, () => {
          if (!branch.isSubAgent) this.#turnEnded(pauseMs)
          this.#runSteps(branch, steps, done, at + 1)
        })
      })
    })
  }

  #afterCall (branch: Branch, step: workload.Step, done: () => void): void {
    if (step.subAgent.length === 0) {
      done()
      return
    }
    this.#runSteps(this.#branch(`s${this.#branches.length}`, true), step.subAgent, done)
  }

  #call (branch: Branch, step: workload.Step, done: () => void): void {
    this.#silence?.cancel()
    if (this.#demand === 0) this.#expectRest()
    const promptTokens = branch.tokens + step.addedTokens
    this.#running = this.#home.dispatch({
      script: this.#script,
      prefix: branch.prefix,
      isSubAgent: branch.isSubAgent,
      turnsDone: this.#turns.length,
      attainedTokens: this.#attainedTokens,
      historyTokens: branch.tokens,
      promptTokens,
      generatedTokens: step.generatedTokens,
      retries: this.#retries,
      onDone: (end) => {
        const tokens = promptTokens - end.cachedTokens + step.generatedTokens
        branch.tokens = promptTokens + step.generatedTokens
        this.#attainedTokens += tokens
        this.#turnTokens += tokens
        this.#turnRunMs += end.runMs
        this.#running = undefined
        this.#silence = this.#world.timers.after(admitProgram.programIdleTimeoutMs, () => this.#setDemand(0))
        done()
      },
      onGivenUp: () => this.#end('expired')
    })
  }

  #turnEnded (pauseMs: number): void {
    this.#turns.push({ tokens: this.#turnTokens, runMs: this.#turnRunMs, ms: this.#turnRunMs + pauseMs })
    this.#turnTokens = 0
    this.#turnRunMs = 0
    this.#expectRest()
  }

  #scriptEnded (): void {
    // An abandoned program stays until it expires: its caller does not say that it is gone.
    if (this.#script.fate === 'abandoned') return
    this.#home.remaining.observe(this.#script.profile.kind, this.#turns)
    this.#end(this.#world.timers.now() <= this.#script.deadline ? 'inTime' : 'late')
  }

  #end (end: measures.ProgramEnd): void {
    const script = this.#script
    this.#expiry?.cancel()
    this.#pause?.cancel()
    this.#running?.cancel()
    this.#silence?.cancel()
    this.#setDemand(0)
    for (const { prefix } of this.#branches) {
      this.#home.holds.gone(prefix)
      this.#home.prefixes.forget(prefix)
    }
    const fated = script.fate === 'abandoned' ? 'abandoned' : script.fate === 'loops' ? 'looped' : end
    const latencyMs = this.#world.timers.now() - script.offeredAt
    this.#world.recorder.results.push({ script, end: fated, latencyMs, tries: this.#tries })
  }

  /** Counts the rest of the program as demand, for as long as it is not silent. */
  #expectRest (): void {
    const rest = this.#home.remaining.estimate(this.#script.profile.kind, this.#turns.length)
    this.#setDemand(rest.runMs / Math.max(1, rest.ms))
  }

  #setDemand (demand: number): void {
    this.#home.demand += demand - this.#demand
    this.#demand = demand
  }
}
