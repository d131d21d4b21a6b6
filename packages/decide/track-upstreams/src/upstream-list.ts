/** Keeps the upstreams of every service with their health and in-flight requests, as seen by this process. */
import type * as types from '@eelgrasswind/types'

/** The entry of one incarnation of an upstream in the upstream list. */
export interface ListedUpstream {
  /** Identifies the incarnation: health state does not carry over to the next one, even if it has the same name. */
  readonly id: types.UpstreamId
  /** The upstream's own name, which may stay the same across restarts. */
  readonly name: string
  readonly service: types.ServiceId
  readonly address: string
  /** Requests that it runs concurrently. */
  readonly slots: number
  readonly leaving: boolean
}

/** An upstream with the state that this process keeps of it. */
export interface Upstream {
  listed: ListedUpstream
  /** Requests of this process that are in flight at the upstream. */
  running: number
  /** Consecutive failed connections and interrupted responses. */
  failures: number
  /** End of the backoff after failures, monotonic ms; before it the upstream is used only if there is no other. */
  avoidUntil: number
  /** End of the time in which it gets no request at all, because the bytes of an answer did not end, monotonic ms. */
  blockedUntil: number
  /** When data was last received from it, monotonic ms. */
  lastActivityAt: number
  /** End of its ejection by outlier detection, monotonic ms. */
  ejectedUntil: number
  /** Until when it counts as full after it reported a full queue, monotonic ms. */
  fullUntil: number
}

/** Backoff after the first failure, in ms; doubles with each further one. Long enough that a crashed upstream costs few attempts. */
const initialBackoffMs = 150
const maxBackoffMs = 2_400
/** Backoff after a request without any response, in ms: a host without power is off the list in about 4 s, and each attempt costs a client 2 s. */
const unresponsiveBackoffMs = 2_000
/** Backoff after a full queue, in ms: a slot becomes free after about one request, and earlier attempts mostly fail. */
const queueFullBackoffMs = 40

/** Indexes upstreams by id and by service. The state of an incarnation is reset when its service changes. */
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
    const upstream: Upstream = { listed, running: 0, failures: 0, avoidUntil: 0, blockedUntil: 0, lastActivityAt: 0, ejectedUntil: 0, fullUntil: 0 }
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

/** Records a failed connection or an interrupted response. */
export function noteFailure (upstream: Upstream, now: number): void {
  upstream.failures += 1
  const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (upstream.failures - 1))
  upstream.avoidUntil = now + backoffMs
}

/** Records an answer whose bytes did not end: unlike other failures it costs the requests at all other upstreams. */
export function noteEndlessAnswer (upstream: Upstream, now: number): void {
  noteFailure(upstream, now)
  upstream.blockedUntil = upstream.avoidUntil
}

/** Records that the upstream sent nothing for so long that its host is likely down. */
export function noteUnresponsive (upstream: Upstream, now: number): void {
  upstream.failures += 1
  upstream.avoidUntil = now + unresponsiveBackoffMs
}

/** Records that data was received from the upstream. */
export function noteActivity (upstream: Upstream, now: number): void {
  upstream.lastActivityAt = now
}

/** Records that the upstream refused a request because its queue is full. */
export function noteQueueFull (upstream: Upstream, now: number): void {
  upstream.fullUntil = now + queueFullBackoffMs
}

/** Records a complete response: ends the backoff and resets it to the shortest one. */
export function noteSuccess (upstream: Upstream): void {
  upstream.failures = 0
  upstream.avoidUntil = 0
  upstream.blockedUntil = 0
}
