/** Measures what the path through entry and home adds to a call, against the same engine called directly. */
import * as callerClient from '@eelgrasswind/caller-client'
import * as hdr from 'hdr-histogram-js'
import * as pureRand from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'
import * as directClient from './direct-client.js'
import * as processUsage from './process-usage.js'
import * as programPool from './program-pool.js'

export interface OverheadOptions {
  readonly entry: string
  readonly token: string
  readonly engine: string
  readonly model: string
  readonly kind: string
  /** Pairs of one direct call and one through the path, one after another. */
  readonly pairs: number
  /** Calls at each number of concurrent calls. */
  readonly calls: number
  readonly concurrency: readonly number[]
  readonly maxTokens: number
  readonly promptCharacters: number
  readonly seed: number
  readonly processes: readonly processUsage.WatchedProcess[]
  readonly onProgress: (line: string) => void
}

/** Times of one way, in milliseconds. */
export interface LatencySummary {
  readonly p50: number
  readonly p99: number
  readonly mean: number
}

export interface WayLatency {
  readonly first: LatencySummary
  readonly whole: LatencySummary
}

export interface ProcessCost {
  readonly name: string
  readonly cpuMsPerCall: number
  readonly residentMiB: number
}

export interface LoadLevel {
  readonly concurrency: number
  readonly calls: number
  /** Calls through the path that failed, by code; they are not in the latencies. */
  readonly failures: Readonly<Record<string, number>>
  readonly directPerSecond: number
  readonly pathPerSecond: number
  readonly pathP50: number
  readonly pathP99: number
  readonly processes: readonly ProcessCost[]
}

export interface OverheadReport {
  readonly seed: number
  readonly pairs: number
  readonly direct: WayLatency
  readonly path: WayLatency
  /** Differences of the paired calls, path less direct. */
  readonly added: WayLatency
  readonly atRest: readonly { readonly name: string, readonly residentMiB: number }[]
  /** Processor time for one call at a time. */
  readonly paired: readonly ProcessCost[]
  readonly levels: readonly LoadLevel[]
}

const warmUpPairs = 100
/** Histograms hold microseconds. */
const microsPerMs = 1000
const letters = 'abcdefghijklmnopqrstuvwxyz '

class Latencies {
  private readonly histogram = hdr.build({ numberOfSignificantValueDigits: 3 })

  record (ms: number): void {
    // A direct call may be the slower one of its pair; the histogram holds no negative values.
    this.histogram.recordValue(Math.max(0, Math.round(ms * microsPerMs)))
  }

  summary (): LatencySummary {
    const at = (percentile: number): number => this.histogram.getValueAtPercentile(percentile) / microsPerMs
    return { p50: at(50), p99: at(99), mean: this.histogram.mean / microsPerMs }
  }
}

interface Timed {
  readonly firstTextMs: number
  readonly totalMs: number
}

class WayLatencies {
  private readonly first = new Latencies()
  private readonly whole = new Latencies()

  record (answer: Timed): void {
    this.first.record(answer.firstTextMs)
    this.whole.record(answer.totalMs)
  }

  summary (): WayLatency {
    return { first: this.first.summary(), whole: this.whole.summary() }
  }
}

/** Runs so many calls with so many at a time; gives the time taken in seconds. */
async function runCalls (calls: number, concurrency: number, call: (index: number) => Promise<void>): Promise<number> {
  const startedAt = performance.now()
  let next = 0
  await Promise.all(Array.from({ length: Math.min(concurrency, calls) }, async () => {
    while (next < calls) await call(next++)
  }))
  return (performance.now() - startedAt) / 1000
}

class OverheadRun {
  private readonly caller: callerClient.CallerClient
  private readonly direct: directClient.DirectClient
  private readonly programs: programPool.ProgramPool
  private readonly random: ReturnType<typeof pureRand.xoroshiro128plus>
  private readonly prefix: string
  private directCalls = 0

  constructor (private readonly options: OverheadOptions) {
    const connections = Math.max(...options.concurrency)
    this.caller = new callerClient.CallerClient({ address: options.entry, token: options.token, connections })
    this.direct = new directClient.DirectClient(options.engine, connections)
    this.prefix = `overhead-${options.seed}-${Date.now()}`
    this.programs = new programPool.ProgramPool(this.caller, options.kind, this.prefix)
    this.random = pureRand.xoroshiro128plus(options.seed)
  }

  async run (): Promise<OverheadReport> {
    const { pairs, seed, onProgress } = this.options
    const atRest = this.options.processes.map(({ name, pid }) => ({ name, residentMiB: processUsage.readUsage(pid).residentMiB }))
    await this.programs.prepare(pairs + warmUpPairs)
    onProgress('programs are started')
    await this.runPairs(warmUpPairs)
    const usageBefore = this.usage()
    const latencies = await this.runPairs(pairs)
    const paired = this.costs(usageBefore, pairs)
    await this.programs.finish()
    onProgress(`${pairs} pairs are measured`)
    const levels: LoadLevel[] = []
    for (const concurrency of this.options.concurrency) {
      levels.push(await this.runLevel(concurrency))
      onProgress(`${concurrency} concurrent calls are measured`)
    }
    return { seed, pairs, ...latencies, atRest, paired, levels }
  }

  async close (): Promise<void> {
    await Promise.all([this.caller.close(), this.direct.close()])
  }

  private prompt (): string {
    const characters = Array.from({ length: this.options.promptCharacters }, () => letters[uniform.uniformInt(this.random, 0, letters.length - 1)])
    return characters.join('')
  }

  private async callDirect (stream: boolean, prompt: string): Promise<Timed> {
    const { model, maxTokens } = this.options
    return await this.direct.complete({ requestId: `${this.prefix}-${this.directCalls++}`, model, prompt, maxTokens, stream })
  }

  private async callPath (stream: boolean, prompt: string): Promise<callerClient.CallerResult<Timed>> {
    const { model, maxTokens } = this.options
    const { program, place } = this.programs.take()
    return await this.caller.complete(program, { model, messages: [{ role: 'user', content: prompt }], maxTokens, stream }, place)
  }

  /** Each pair sends the same prompt both ways; which goes first alternates. */
  private async runPairs (pairs: number): Promise<Pick<OverheadReport, 'direct' | 'path' | 'added'>> {
    const [direct, path, added] = [new WayLatencies(), new WayLatencies(), new WayLatencies()]
    for (let pair = 0; pair < pairs; pair += 1) {
      const prompt = this.prompt()
      const before = pair % 2 === 0 ? await this.callDirect(true, prompt) : undefined
      const through = need(await this.callPath(true, prompt))
      const alone = before ?? await this.callDirect(true, prompt)
      direct.record(alone)
      path.record(through)
      added.record({ firstTextMs: through.firstTextMs - alone.firstTextMs, totalMs: through.totalMs - alone.totalMs })
    }
    return { direct: direct.summary(), path: path.summary(), added: added.summary() }
  }

  private async runLevel (concurrency: number): Promise<LoadLevel> {
    const { calls } = this.options
    const prompts = Array.from({ length: calls }, () => this.prompt())
    await this.programs.prepare(calls)
    const directSeconds = await runCalls(calls, concurrency, async (index) => { await this.callDirect(false, prompts[index]!) })
    const before = this.usage()
    const latencies = new Latencies()
    const failures: Record<string, number> = {}
    const pathSeconds = await runCalls(calls, concurrency, async (index) => {
      const result = await this.callPath(false, prompts[index]!)
      if (result.ok) latencies.record(result.value.totalMs)
      else failures[result.failure.code] = (failures[result.failure.code] ?? 0) + 1
    })
    const { p50, p99 } = latencies.summary()
    const processes = this.costs(before, calls)
    await this.programs.finish()
    return {
      concurrency,
      calls,
      failures,
      directPerSecond: calls / directSeconds,
      pathPerSecond: calls / pathSeconds,
      pathP50: p50,
      pathP99: p99,
      processes
    }
  }

  private usage (): readonly processUsage.ProcessUsage[] {
    return this.options.processes.map(({ pid }) => processUsage.readUsage(pid))
  }

  private costs (before: readonly processUsage.ProcessUsage[], calls: number): readonly ProcessCost[] {
    const after = this.usage()
    return this.options.processes.map(({ name }, index) => ({
      name,
      cpuMsPerCall: (after[index]!.cpuMs - before[index]!.cpuMs) / calls,
      residentMiB: after[index]!.residentMiB
    }))
  }
}

function need<T> (result: callerClient.CallerResult<T>): T {
  if (result.ok) return result.value
  const { code, verdict, message } = result.failure
  throw new Error(`a call failed: ${code}, ${verdict}: ${message}`)
}

/** Throws where a paired call fails: the pairs would not compare. */
export async function measureOverhead (options: OverheadOptions): Promise<OverheadReport> {
  const run = new OverheadRun(options)
  try {
    return await run.run()
  } finally {
    await run.close()
  }
}
