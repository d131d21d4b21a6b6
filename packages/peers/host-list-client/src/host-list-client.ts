/** What the system asks of the platform's host list. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** The list lags and may be empty. Failures: `peerUnavailable`, or `answerBroken` where the answer is no host list. */
export interface HostListClient {
  read: () => Promise<errors.Result<types.HostList>>
  close: () => Promise<void>
}

export interface HostListSettings {
  /** Address of the host list, as `http://ip:port`. */
  readonly address: string
  /** After this an answer counts as lost, in milliseconds. */
  readonly timeoutMs: number
  /** The process clock where left out. */
  readonly timers?: timerService.TimerService
}
