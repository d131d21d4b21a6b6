/** Finds the client that a bearer token belongs to. */
import * as crypto from 'node:crypto'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'

/** Retry-after time until the first configuration is loaded, in milliseconds. */
const noConfigRetryMs = 1_000

const noConfigFailure: errors.Failure = { tag: 'logUnavailable', verdict: 'notRun', message: 'this entry has no configuration yet', retryAfterMs: noConfigRetryMs }
const unauthorizedFailure: errors.Failure = { tag: 'unauthorized', verdict: 'notRun', message: 'no client has this token; send it as Authorization: Bearer TOKEN' }

/** Index of the clients' tokens in a configuration; valid tokens are cached. */
export class ClientTokens {
  private indexedConfig: configState.Config | undefined
  private clientsByDigest = new Map<string, types.ClientId>()
  private clientsByToken = new Map<string, types.ClientId>()

  /** Finds the client of a token. Digests are looked up in a map and not compared one by one, so that timing reveals nothing about them. */
  findClient (config: configState.Config | undefined, token: string | undefined): errors.Result<types.ClientId> {
    if (config === undefined) return errors.fail(noConfigFailure)
    if (token === undefined) return errors.fail(unauthorizedFailure)
    if (config !== this.indexedConfig) this.rebuildIndex(config)
    const client = this.clientsByToken.get(token) ?? this.clientsByDigest.get(crypto.createHash('sha256').update(token).digest('hex'))
    if (client === undefined) return errors.fail(unauthorizedFailure)
    this.clientsByToken.set(token, client)
    return errors.ok(client)
  }

  private rebuildIndex (config: configState.Config): void {
    this.indexedConfig = config
    this.clientsByToken = new Map()
    this.clientsByDigest = new Map([...config.clients].map(([client, { tokenSha256 }]) => [tokenSha256, client]))
  }
}
