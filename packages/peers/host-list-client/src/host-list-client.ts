/** Interface of the client of the platform's host list. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** Client of the host list. The list may be stale or empty. Failures: `peerUnavailable`, or `answerBroken` if the answer is not a valid host list. */
export interface HostListClient {
  read: () => Promise<errors.Result<types.HostList>>
  close: () => Promise<void>
}

/** Settings of a host list client. */
export interface HostListSettings {
  /** Address of the host list, as `http://ip:port`. */
  readonly address: string
  /** Time limit of a read, in ms, after which its answer counts as lost. */
  readonly timeoutMs: number
  /** Receives the number of entries that can't be read, and are left out, whenever it changes. */
  readonly onUnreadable?: (count: number) => void
  /** Defaults to real timers. */
  readonly timers?: timerService.TimerService
}
