/** What the system asks of the platform's append-only log service. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** One record as the log keeps it. */
export interface LogRecord {
  readonly offset: types.LogOffset
  /** When the log took it, by the log's clock. */
  readonly at: types.EpochMs
  readonly data: string
}

/** Records from an offset on, and what the stream still holds. */
export interface LogPage {
  /** Offset of the oldest record that is still kept; greater than the offset asked for when records have expired. */
  readonly first: types.LogOffset
  /** Offset that the next append will get. */
  readonly next: types.LogOffset
  readonly records: readonly LogRecord[]
}

/** Where an append landed. */
export interface AppendResult {
  readonly offset: types.LogOffset
  readonly at: types.EpochMs
}

export interface ReadOptions {
  /** Most records of a page. */
  readonly limit?: number
}

/**
 * Offsets of a stream are contiguous from 0. A failed append carries its verdict: `notRun` where the log
 * refused it, `mayHaveRun` where the answer was lost or late.
 */
export interface LogClient {
  append: (stream: types.StreamName, data: string) => Promise<errors.Result<AppendResult>>
  /** A page may be shorter than the limit; an expired start gives an ordinary page whose `first` says so. */
  read: (stream: types.StreamName, from: types.LogOffset, options?: ReadOptions) => Promise<errors.Result<LogPage>>
  close: () => Promise<void>
}

export interface LogClientSettings {
  /** Address of the log service, as `http://ip:port`. */
  readonly address: string
  /** After this an answer counts as lost, in milliseconds. */
  readonly timeoutMs: number
  /** The process clock where left out. */
  readonly timers?: timerService.TimerService
}
