/** Programs that are started before a measurement, and places for short calls in them. */
import type * as callerClient from '@eelgrasswind/caller-client'

export interface CallSlot {
  readonly program: string
  readonly place: callerClient.CallMetadata
}

/** Calls of one program, each in a branch of its own, so that its prompt stays short. */
const callsPerProgram = 50
const parallelRequests = 8
const maxStartAttempts = 10

async function inParallel (names: string[], run: (name: string) => Promise<void>): Promise<void> {
  await Promise.all(Array.from({ length: parallelRequests }, async () => {
    for (let name = names.pop(); name !== undefined; name = names.pop()) await run(name)
  }))
}

export class ProgramPool {
  private slots: CallSlot[] = []
  private readonly running = new Set<string>()
  private programs = 0

  /** Names of programs begin with the prefix, which must be new for each run. */
  constructor (private readonly caller: callerClient.CallerClient, private readonly kind: string, private readonly prefix: string) {}

  /** Starts as many programs as so many calls need. */
  async prepare (calls: number): Promise<void> {
    const missing = Math.ceil(Math.max(0, calls - this.slots.length) / callsPerProgram)
    const names = Array.from({ length: missing }, () => `${this.prefix}-${this.programs++}`)
    const started = [...names]
    await inParallel(names, (name) => this.start(name))
    // Calls that follow one another are of different programs: the records of one program are written one by one.
    for (let call = 0; call < callsPerProgram; call += 1) {
      for (const program of started) this.slots.push({ program, place: { key: `k${call}`, branch: `b${call}`, seq: 1 } })
    }
  }

  /** Ends all programs, so that they do not weigh on the starts and the memory of what is measured next. */
  async finish (): Promise<void> {
    const names = [...this.running]
    this.running.clear()
    this.slots = []
    await inParallel(names, async (name) => { await this.caller.finish(name) })
  }

  private async start (program: string): Promise<void> {
    for (let attempt = 1; ; attempt += 1) {
      const started = await this.caller.start(program, { kind: this.kind })
      if (started.ok) break
      const { code, message, verdict, retryAfterMs } = started.failure
      if (retryAfterMs === null || attempt === maxStartAttempts) throw new Error(`start of ${program}: ${code}, ${verdict}: ${message}`)
      await new Promise((resolve) => { setTimeout(resolve, retryAfterMs) })
    }
    this.running.add(program)
  }

  take (): CallSlot {
    const slot = this.slots.pop()
    if (slot === undefined) throw new Error('more calls than were prepared')
    return slot
  }
}
