/** Which client a token belongs to. */
import * as crypto from 'node:crypto'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

const noConfigRetryMs = 1_000

const noConfig: errors.Failure = { tag: 'logUnavailable', verdict: 'notRun', message: 'this entry has no configuration yet', retryAfterMs: noConfigRetryMs }
const unauthorized: errors.Failure = { tag: 'unauthorized', verdict: 'notRun', message: 'no client has this token; send it as Authorization: Bearer TOKEN' }

export class ClientTokens {
  private config: configState.Config | undefined
  private byDigest = new Map<string, types.ClientId>()
  private byToken = new Map<string, types.ClientId>()

  /** Digests are looked up, not compared one by one, so the time taken tells nothing of them. */
  clientOf (config: configState.Config | undefined, token: string | undefined): errors.Result<types.ClientId> {
    if (config === undefined) return errors.fail(noConfig)
    if (token === undefined) return errors.fail(unauthorized)
    if (config !== this.config) this.index(config)
    const client = this.byToken.get(token) ?? this.byDigest.get(crypto.createHash('sha256').update(token).digest('hex'))
    if (client === undefined) return errors.fail(unauthorized)
    this.byToken.set(token, client)
    return errors.ok(client)
  }

  private index (config: configState.Config): void {
    this.config = config
    this.byToken = new Map()
    this.byDigest = new Map([...config.clients].map(([client, { tokenSha256 }]) => [tokenSha256, client]))
  }
}
