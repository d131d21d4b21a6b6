/** The upstreams of every service as this process believes them, with what it has running there. */
import type * as types from '@eelgrasswind/types'

/** What the list of upstreams says of one incarnation. */
export interface ListedUpstream {
  /** The incarnation: what is believed of one says nothing of the next, also where it has the same name. */
  readonly id: types.UpstreamId
  /** The upstream's own name, which it may keep over restarts. */
  readonly name: string
  readonly service: types.ServiceId
  readonly address: string
  /** Requests that it runs at once. */
  readonly slots: number
  readonly leaving: boolean
}

/** An upstream with this process's own view of it. */
export interface Upstream {
  listed: ListedUpstream
  /** Requests of this process that run there now. */
  running: number
  /** Failed connections and broken answers in a row. */
  failures: number
  /** Nothing is sent there before this time unless there is no other, monotonic ms. */
  avoidUntil: number
  /** When anything last came from it, monotonic ms. */
  lastActivityAt: number
  /** It fails or lags far more often than the rest of its service: avoided until this time, monotonic ms. */
  ejectedUntil: number
  /** It said that it was full; believed until this time, monotonic ms. */
  fullUntil: number
}

/** First pause after a failure; doubles with each further one. Long enough that a crashed upstream costs few tries. */
const initialBackoffMs = 150
const maxBackoffMs = 2_400
/** Pause after a silence, in ms: a host without power is off the list in about 4 s, and each try costs a client 2 s. */
const unresponsiveBackoffMs = 2_000
/** A full upstream frees a slot within about one request; asking again sooner is mostly in vain. */
const queueFullBackoffMs = 40

/** Finds upstreams by id and by service. An incarnation that changes its service starts anew. */
export class UpstreamList {
  private readonly upstreams = new Map<types.UpstreamId, Upstream>()
  private readonly services = new Map<types.ServiceId, Upstream[]>()

  get size (): number {
    return this.upstreams.size
  }

  get (id: types.UpstreamId): Upstream | undefined {
    return this.upstreams.get(id)
  }

  /** The upstreams of a service, leaving ones included. */
  getByService (service: types.ServiceId): readonly Upstream[] {
    return this.services.get(service) ?? []
  }

  getAll (): Iterable<Upstream> {
    return this.upstreams.values()
  }

  put (listed: ListedUpstream): void {
    const known = this.upstreams.get(listed.id)
    if (known !== undefined && known.listed.service === listed.service) {
      known.listed = listed
      return
    }
    this.remove(listed.id)
    const upstream: Upstream = { listed, running: 0, failures: 0, avoidUntil: 0, lastActivityAt: 0, ejectedUntil: 0, fullUntil: 0 }
    this.upstreams.set(listed.id, upstream)
    this.services.set(listed.service, [...this.getByService(listed.service), upstream])
  }

  remove (id: types.UpstreamId): void {
    const known = this.upstreams.get(id)
    if (known === undefined) return
    this.upstreams.delete(id)
    const service = known.listed.service
    this.services.set(service, this.getByService(service).filter((upstream) => upstream !== known))
  }
}

/** A connection failed or an answer broke off. */
export function noteFailure (upstream: Upstream, now: number): void {
  upstream.failures += 1
  const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (upstream.failures - 1))
  upstream.avoidUntil = now + backoffMs
}

/** Nothing at all came from the upstream for so long that its host is likely gone. */
export function noteUnresponsive (upstream: Upstream, now: number): void {
  upstream.failures += 1
  upstream.avoidUntil = now + unresponsiveBackoffMs
}

/** Something came from the upstream. */
export function noteActivity (upstream: Upstream, now: number): void {
  upstream.lastActivityAt = now
}

/** The upstream refused since its queue is full. */
export function noteQueueFull (upstream: Upstream, now: number): void {
  upstream.fullUntil = now + queueFullBackoffMs
}

/** A whole answer came: pauses end, and the next failure starts with the shortest. */
export function noteSuccess (upstream: Upstream): void {
  upstream.failures = 0
  upstream.avoidUntil = 0
}
