/** Examines whether an upstream has ended after a connection to it broke. */
import * as sendHttp from '@eelgrasswind/send-http'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'

/** Dependencies of `UpstreamProbe`. */
export interface UpstreamProbePorts {
  readonly upstreams: trackUpstreams.UpstreamList
  /** Examines the process at an address. */
  readonly examineBreak: (address: string) => Promise<sendHttp.ProcessEvidence>
}

/** Requests that broke at the same upstream share one examination. */
export class UpstreamProbe {
  private readonly pending = new Map<types.UpstreamId, Promise<sendHttp.ProcessEvidence>>()

  constructor (private readonly ports: UpstreamProbePorts) {}

  /** Examines an upstream to which a connection broke just now. */
  examine (upstream: trackUpstreams.Upstream): Promise<sendHttp.ProcessEvidence> {
    const { id } = upstream.listed
    const pending = this.pending.get(id)
    if (pending !== undefined) return pending
    const examination = this.examineIncarnation(upstream).finally(() => { this.pending.delete(id) })
    this.pending.set(id, examination)
    return examination
  }

  private async examineIncarnation (upstream: trackUpstreams.Upstream): Promise<sendHttp.ProcessEvidence> {
    const { id, address } = upstream.listed
    const evidence = await this.ports.examineBreak(address)
    // Another incarnation may already listen there.
    return !sendHttp.hasEnded(evidence) && this.ports.upstreams.get(id) === undefined ? 'ended' : evidence
  }
}
