/** In-memory log with fault injection, for the tests and measurements of this package. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/**
 * What happens to one append. refuse: not appended, known to the client. loseAnswer: appended, but the client gets a
 * timeout. lateCopy: appended after the client got a timeout. stall: never appended, and the client gets a timeout.
 */
export type AppendFault = 'none' | 'refuse' | 'loseAnswer' | 'lateCopy' | 'stall'

export interface TestLogOptions {
  readonly timers: timerService.TimerService
  /** Latency of each direction of a request, in milliseconds; with 0, requests complete without a timer. */
  readonly latencyMs: number
  readonly nextAppendFault?: () => AppendFault
  readonly shouldFailRead?: () => boolean
  /** Age at which records are no longer returned by reads, in milliseconds. */
  readonly retentionMs?: number
}

const requestTimeoutMs = 50
/** Delay after which a late copy is appended, in milliseconds. */
const lateCopyDelayMs = 400

export class TestLog implements logClient.LogClient {
  nextAppendFault: () => AppendFault
  shouldFailRead: () => boolean
  private readonly streams = new Map<types.StreamName, { first: types.LogOffset, records: logClient.LogRecord[] }>()

  constructor (private readonly options: TestLogOptions) {
    this.nextAppendFault = options.nextAppendFault ?? (() => 'none')
    this.shouldFailRead = options.shouldFailRead ?? (() => false)
  }

  async append (stream: types.StreamName, data: string): Promise<errors.Result<logClient.AppendResult>> {
    const fault = this.nextAppendFault()
    await this.wait(this.options.latencyMs)
    switch (fault) {
      case 'refuse':
        return errors.fail(createUnavailableFailure('notRun'))
      case 'stall':
        await this.wait(requestTimeoutMs)
        return errors.fail(createUnavailableFailure('mayHaveRun'))
      case 'lateCopy':
        this.options.timers.after(lateCopyDelayMs, () => { this.appendDirectly(stream, data) })
        await this.wait(requestTimeoutMs)
        return errors.fail(createUnavailableFailure('mayHaveRun'))
      case 'loseAnswer':
        this.appendDirectly(stream, data)
        await this.wait(requestTimeoutMs)
        return errors.fail(createUnavailableFailure('mayHaveRun'))
      case 'none': {
        const { offset, at } = this.appendDirectly(stream, data)
        await this.wait(this.options.latencyMs)
        return errors.ok({ offset, at })
      }
      default:
        return errors.assertNever(fault)
    }
  }

  async read (stream: types.StreamName, from: types.LogOffset, { limit = 100 }: logClient.ReadOptions = {}): Promise<errors.Result<logClient.LogPage>> {
    await this.wait(this.options.latencyMs)
    if (this.shouldFailRead()) return errors.fail(createUnavailableFailure('notRun'))
    const { records } = this.getStream(stream)
    const first = this.getFirstOffset(stream)
    const start = Math.max(first, from)
    const page = { first, next: records.length as types.LogOffset, records: records.slice(start, start + limit) }
    await this.wait(this.options.latencyMs)
    return errors.ok(page)
  }

  async close (): Promise<void> {}

  /** Appends synchronously, without latency or faults. */
  appendDirectly (stream: types.StreamName, data: string): logClient.LogRecord {
    const { records } = this.getStream(stream)
    const record = { offset: records.length as types.LogOffset, at: this.options.timers.now() as types.EpochMs, data }
    records.push(record)
    return record
  }

  /** Makes the records before an offset unavailable to reads. */
  expire (stream: types.StreamName, before: number): void {
    this.getStream(stream).first = before as types.LogOffset
  }

  /** Returns all records ever appended, expired ones included. */
  getRecords (stream: types.StreamName): readonly logClient.LogRecord[] {
    return this.getStream(stream).records
  }

  private getFirstOffset (stream: types.StreamName): types.LogOffset {
    const streamState = this.getStream(stream)
    const oldestAt = this.options.timers.now() - (this.options.retentionMs ?? Infinity)
    while (streamState.first < streamState.records.length && streamState.records[streamState.first]!.at < oldestAt) streamState.first = streamState.first + 1 as types.LogOffset
    return streamState.first
  }

  private getStream (stream: types.StreamName) {
    const streamState = this.streams.get(stream) ?? { first: 0 as types.LogOffset, records: [] }
    this.streams.set(stream, streamState)
    return streamState
  }

  private async wait (ms: number): Promise<void> {
    if (ms > 0) await new Promise<void>((resolve) => { this.options.timers.after(ms, resolve) })
  }
}

function createUnavailableFailure (verdict: types.Verdict): errors.Failure {
  return { tag: 'logUnavailable', verdict, message: 'the test log fails', retryAfterMs: 10 }
}
