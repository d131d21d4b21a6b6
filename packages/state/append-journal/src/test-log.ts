/** A small log in memory with faults, for the tests and measurements of this package. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** What happens to one append. */
export type AppendFault = 'none' | 'refuse' | 'loseAnswer' | 'lateCopy' | 'stall'

export interface TestLogOptions {
  readonly timers: timerService.TimerService
  /** Time that a request takes each way, in milliseconds; at 0 answers come at once. */
  readonly latencyMs: number
  readonly appendFault?: () => AppendFault
  readonly readFails?: () => boolean
  /** Readers no longer get older records, in milliseconds. */
  readonly retentionMs?: number
}

const timeoutMs = 50
/** After this a late copy lands. */
const lateMs = 400

export class TestLog implements logClient.LogClient {
  appendFault: () => AppendFault
  readFails: () => boolean
  private readonly streams = new Map<types.StreamName, { first: types.LogOffset, records: logClient.LogRecord[] }>()

  constructor (private readonly options: TestLogOptions) {
    this.appendFault = options.appendFault ?? (() => 'none')
    this.readFails = options.readFails ?? (() => false)
  }

  async append (stream: types.StreamName, data: string): Promise<errors.Result<logClient.LogAppended>> {
    const fault = this.appendFault()
    await this.wait(this.options.latencyMs)
    switch (fault) {
      case 'refuse':
        return errors.fail(unavailable('notRun'))
      case 'stall':
        await this.wait(timeoutMs)
        return errors.fail(unavailable('mayHaveRun'))
      case 'lateCopy':
        this.options.timers.after(lateMs, () => { this.put(stream, data) })
        await this.wait(timeoutMs)
        return errors.fail(unavailable('mayHaveRun'))
      case 'loseAnswer':
        this.put(stream, data)
        await this.wait(timeoutMs)
        return errors.fail(unavailable('mayHaveRun'))
      case 'none': {
        const { offset, at } = this.put(stream, data)
        await this.wait(this.options.latencyMs)
        return errors.ok({ offset, at })
      }
      default:
        return errors.unreachable(fault)
    }
  }

  async read (stream: types.StreamName, from: types.LogOffset, { limit = 100 }: logClient.ReadOptions = {}): Promise<errors.Result<logClient.LogPage>> {
    await this.wait(this.options.latencyMs)
    if (this.readFails()) return errors.fail(unavailable('notRun'))
    const { records } = this.streamOf(stream)
    const first = this.firstKept(stream)
    const start = Math.max(first, from)
    const page = { first, next: records.length as types.LogOffset, records: records.slice(start, start + limit) }
    await this.wait(this.options.latencyMs)
    return errors.ok(page)
  }

  async close (): Promise<void> {}

  /** Writes without a client. */
  put (stream: types.StreamName, data: string): logClient.LogRecord {
    const { records } = this.streamOf(stream)
    const record = { offset: records.length as types.LogOffset, at: this.options.timers.now() as types.EpochMs, data }
    records.push(record)
    return record
  }

  /** Readers no longer get the records before an offset. */
  expire (stream: types.StreamName, before: number): void {
    this.streamOf(stream).first = before as types.LogOffset
  }

  /** All records that there ever were. */
  recordsOf (stream: types.StreamName): readonly logClient.LogRecord[] {
    return this.streamOf(stream).records
  }

  private firstKept (stream: types.StreamName): types.LogOffset {
    const held = this.streamOf(stream)
    const oldest = this.options.timers.now() - (this.options.retentionMs ?? Infinity)
    while (held.first < held.records.length && held.records[held.first]!.at < oldest) held.first = held.first + 1 as types.LogOffset
    return held.first
  }

  private streamOf (stream: types.StreamName) {
    const held = this.streams.get(stream) ?? { first: 0 as types.LogOffset, records: [] }
    this.streams.set(stream, held)
    return held
  }

  private async wait (ms: number): Promise<void> {
    if (ms > 0) await new Promise<void>((resolve) => { this.options.timers.after(ms, resolve) })
  }
}

function unavailable (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the test log fails', retryAfterMs: 10 }
}
