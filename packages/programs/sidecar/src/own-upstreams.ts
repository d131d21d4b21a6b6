/** Keeps the door's upstreams as the configuration says for this host. */
import type * as configState from '@eelgrasswind/config-state'
import * as engineClient from '@eelgrasswind/engine-client'
import * as errors from '@eelgrasswind/errors'
import type * as guardUpstream from '@eelgrasswind/guard-upstream'
import * as serviceClient from '@eelgrasswind/service-client'
import type * as types from '@eelgrasswind/types'
import type * as settings from './settings.js'

interface Opened {
  readonly address: string
  readonly guarded: guardUpstream.GuardedUpstream
}

export class OwnUpstreams {
  private opened = new Map<types.UpstreamId, Opened>()

  constructor (private readonly host: types.HostId, private readonly guard: guardUpstream.UpstreamGuard, private readonly cfg: settings.SidecarSettings) {}

  apply (config: configState.Config): void {
    const wanted = config.hosts.get(this.host)?.upstreams ?? []
    const next = new Map(wanted.map((upstream) => [upstream.id, this.keepOrOpen(upstream)]))
    for (const [id, { guarded }] of this.opened) {
      if (next.get(id)?.guarded.client !== guarded.client) void guarded.client.close()
    }
    this.opened = next
    this.guard.setUpstreams([...next.values()].map(({ guarded }) => guarded))
  }

  private keepOrOpen (upstream: configState.Upstream): Opened {
    const known = this.opened.get(upstream.id)
    if (known === undefined || known.address !== upstream.address || known.guarded.type !== upstream.type) return this.open(upstream)
    return { address: known.address, guarded: { ...known.guarded, slots: upstream.slots } }
  }

  private open (upstream: configState.Upstream): Opened {
    const { id, address, slots } = upstream
    switch (upstream.type) {
      case 'engine': {
        const client = engineClient.createEngineClient({ upstream: id, address, timeoutMs: this.cfg.upstreamTimeoutMs })
        return { address, guarded: { type: 'engine', upstream: id, slots, client } }
      }
      case 'service': {
        const client = serviceClient.createServiceClient({ upstream: id, address, maxAnswerBytes: this.cfg.maxAnswerBytes })
        return { address, guarded: { type: 'service', upstream: id, slots, client } }
      }
      default: return errors.assertNever(upstream)
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.opened.values()].map(({ guarded }) => guarded.client.close()))
  }
}
