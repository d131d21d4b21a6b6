/** The programs of a soak: well-behaved callers, each of which checks what it is told. */
import * as recorders from './call-recorder.js'
import type * as testUtils from '@eelgrasswind/test-utils'

/** How long a caller asks again for one answer, in milliseconds. */
const patienceMs = 45_000
const callTimeoutMs = 4_000
const entries = 2

/** Failures that a caller who sends its calls in order, each under its own key, never deserves. */
const undeserved: ReadonlySet<string> = new Set(['sequenceGap', 'sequenceRepeat', 'keyReused', 'unknownProgram', 'startConflict', 'historyIncomplete', 'programFinished', 'budgetExceeded', 'invalidRequest', 'unauthorized', 'internal'])

export interface ProgramCounts {
  started: number
  finished: number
  /** Given up by their callers: an answer did not come in time. */
  givenUp: number
  /** Calls that stand as failed in the history. */
  failedCalls: number
}

export class SoakPrograms {
  readonly counts: ProgramCounts = { started: 0, finished: 0, givenUp: 0, failedCalls: 0 }
  readonly violations: string[] = []
  readonly programs: string[] = []
  private ended = false

  constructor (private readonly recorder: recorders.CallRecorder, private readonly prefix: string) {}

  end (): void {
    this.ended = true
  }

  /** Runs one program after another. */
  async run (worker: number, rnd: testUtils.Seeded): Promise<void> {
    for (let count = 0; !this.ended; count += 1) await this.runProgram(`${this.prefix}-${worker}-${count}`, rnd)
  }

  private async runProgram (program: string, rnd: testUtils.Seeded): Promise<void> {
    if (!await this.start(program, rnd)) return
    this.programs.push(program)
    const turns = rnd.whole(2, 7)
    let seq = 1
    for (let turn = 0; turn < turns; turn += 1) {
      if (rnd.chance(0.15)) await this.runAgents(program, `t${turn}`, rnd)
      if (!await this.runCall(program, 'main', seq, rnd)) return
      seq += 1
      if (rnd.chance(0.2)) await this.checkHistory(program, rnd)
      await recorders.pause(rnd.whole(0, 150))
    }
    await this.finish(program, rnd)
  }

  private async runAgents (program: string, name: string, rnd: testUtils.Seeded): Promise<void> {
    await Promise.all([1, 2].map(async (at) => {
      const calls = rnd.whole(1, 3)
      for (let seq = 1; seq <= calls; seq += 1) {
        if (!await this.runCall(program, `${name}-agent${at}`, seq, rnd)) return
      }
    }))
  }

  private async start (program: string, rnd: testUtils.Seeded): Promise<boolean> {
    const started = await this.until(program, async () => await this.recorder.caller(rnd.whole(0, entries - 1)).start(program, { kind: recorders.kind }))
    if (started) this.counts.started += 1
    return started
  }

  private async finish (program: string, rnd: testUtils.Seeded): Promise<void> {
    const finished = await this.until(program, async () => await this.recorder.caller(rnd.whole(0, entries - 1)).finish(program))
    if (finished) this.counts.finished += 1
    else this.counts.givenUp += 1
  }

  private async until (program: string, send: () => Promise<Awaited<ReturnType<ReturnType<recorders.CallRecorder['caller']>['start']>>>): Promise<boolean> {
    const until = performance.now() + patienceMs
    while (performance.now() < until) {
      const result = await send()
      if (result.ok) return true
      this.checkDeserved(program, result.failure)
      await recorders.pause(100)
    }
    return false
  }

  /** False where the caller gave up. */
  private async runCall (program: string, branch: string, seq: number, rnd: testUtils.Seeded): Promise<boolean> {
    const req = this.requestOf(program, branch, seq, rnd)
    const until = performance.now() + patienceMs
    while (performance.now() < until) {
      const entry = rnd.whole(0, entries - 1)
      const duplicates = rnd.chance(0.15) ? [this.recorder.ask(req, 1 - entry)] : []
      const [answer] = await Promise.all([this.recorder.ask(req, entry), ...duplicates])
      if (answer.ok) return true
      this.checkDeserved(`${program}/${req.key}`, answer.failure)
      if (recorders.isFinal(answer.failure) && await this.standsInHistory(program, req.key, entry)) {
        this.counts.failedCalls += 1
        return true
      }
      await recorders.pause(rnd.whole(20, 200))
    }
    this.counts.givenUp += 1
    return false
  }

  private requestOf (program: string, branch: string, seq: number, rnd: testUtils.Seeded): recorders.CallRequest {
    const key = `${branch}-${seq}`
    const place = { branch, timeoutMs: callTimeoutMs }
    if (rnd.chance(0.55)) return recorders.modelCall(program, key, seq, { ...place, maxTokens: rnd.whole(4, 48) })
    return recorders.serviceCall(program, key, seq, { ...place, idempotent: rnd.chance(0.2) })
  }

  private checkDeserved (what: string, failure: { readonly code: string, readonly message: string }): void {
    if (undeserved.has(failure.code)) this.violations.push(`${what}: ${failure.code}: ${failure.message}`)
  }

  private async standsInHistory (program: string, key: string, entry: number): Promise<boolean> {
    const read = await this.recorder.caller(entry).readHistory(program)
    return read.ok && read.value.history.some((turn) => turn.key === key)
  }

  private async checkHistory (program: string, rnd: testUtils.Seeded): Promise<void> {
    const read = await this.recorder.caller(rnd.whole(0, entries - 1)).readHistory(program)
    if (read.ok) this.recorder.checkHistory(program, read.value.history)
    else this.checkDeserved(program, read.failure)
  }

  /** At the end, with no fault any more: every history is whole at each entry. */
  async checkAll (withinMs: number): Promise<void> {
    const until = performance.now() + withinMs
    for (const program of this.programs) {
      for (let entry = 0; entry < entries; entry += 1) await this.checkOne(program, entry, until)
    }
  }

  private async checkOne (program: string, entry: number, until: number): Promise<void> {
    for (;;) {
      const read = await this.recorder.caller(entry).readHistory(program)
      if (read.ok) return this.recorder.checkHistory(program, read.value.history)
      this.checkDeserved(program, read.failure)
      if (performance.now() > until) {
        this.violations.push(`${program}: not to be read after the faults: ${JSON.stringify(read.failure)}`)
        return
      }
      await recorders.pause(200)
    }
  }
}
