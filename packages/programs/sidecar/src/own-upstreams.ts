/** Updates the upstreams of the upstream guard by the configuration of this host. */
import type * as configState from '@eelgrasswind/config-state'
import * as engineClient from '@eelgrasswind/engine-client'
import * as errors from '@eelgrasswind/errors'
import type * as guardUpstream from '@eelgrasswind/guard-upstream'
import * as serviceClient from '@eelgrasswind/service-client'
import type * as types from '@eelgrasswind/types'
import type * as settings from './settings.js'

interface OpenUpstream {
  readonly address: string
  readonly guarded: guardUpstream.GuardedUpstream
}

/** Clients of the upstreams of this host. */
export class OwnUpstreams {
  private openUpstreams = new Map<types.UpstreamId, OpenUpstream>()

  constructor (private readonly host: types.HostId, private readonly guard: guardUpstream.UpstreamGuard, private readonly cfg: settings.SidecarSettings) {}

  /** Opens, closes and resizes upstreams; the client of an upstream whose address and type are unchanged is kept. */
  apply (config: configState.Config): void {
    const wanted = config.hosts.get(this.host)?.upstreams ?? []
    const nextUpstreams = new Map(wanted.map((upstream) => [upstream.id, this.keepOrOpen(upstream)]))
    for (const [id, { guarded }] of this.openUpstreams) {
      if (nextUpstreams.get(id)?.guarded.client !== guarded.client) void guarded.client.close()
    }
    this.openUpstreams = nextUpstreams
    this.guard.setUpstreams([...nextUpstreams.values()].map(({ guarded }) => guarded))
  }

  private keepOrOpen (upstream: configState.Upstream): OpenUpstream {
    const current = this.openUpstreams.get(upstream.id)
    if (current === undefined || current.address !== upstream.address || current.guarded.type !== upstream.type) return this.open(upstream)
    return { address: current.address, guarded: { ...current.guarded, slots: upstream.slots } }
  }

  private open (upstream: configState.Upstream): OpenUpstream {
    const { id, address, slots } = upstream
    switch (upstream.type) {
      case 'engine': {
        const client = engineClient.createEngineClient({ upstream: id, address, timeoutMs: this.cfg.upstreamTimeoutMs })
        return { address, guarded: { type: 'engine', upstream: id, address, slots, client } }
      }
      case 'service': {
        const client = serviceClient.createServiceClient({ upstream: id, address, maxAnswerBytes: this.cfg.maxAnswerBytes })
        return { address, guarded: { type: 'service', upstream: id, address, slots, client } }
      }
      default: return errors.assertNever(upstream)
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.openUpstreams.values()].map(({ guarded }) => guarded.client.close()))
  }
}
