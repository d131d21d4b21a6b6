/** What the system asks of the platform's host list. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'

export interface HostListClient {
  read: () => Promise<errors.Result<types.HostList>>
  close: () => Promise<void>
}

export interface HostListSettings {
  readonly address: string
  readonly timeoutMs: number
}
