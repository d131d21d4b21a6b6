/** Sends that are no longer awaited, or had no proper answer, while their upstream may still end because of them. */
import type * as types from '@eelgrasswind/types'
import type * as upstreamCrashes from './upstream-crashes.js'

/** A send whose upstream may still end because of it. */
export interface OpenSend {
  /** Id of the client's attempt. */
  readonly attempt: string
  readonly fingerprint: types.RequestFingerprint
  /** Whether only one client can have made the request. */
  readonly isExclusive: boolean
  /** Whether its answer is no longer awaited, or else has arrived. */
  readonly wasGivenUp: boolean
  readonly send: upstreamCrashes.BrokenSend
  /** When the answer was given up or arrived, monotonic ms. */
  readonly since: number
  /** Until then the upstream may work on the request, monotonic ms. */
  readonly until: number
}

/** An entry takes about 300 bytes. */
const maxOpenSends = 5_000

/** Remembers open sends by upstream. Beyond the limit the oldest ones are forgotten. */
export class OpenSends {
  /** The oldest one first. */
  private readonly sends = new Set<OpenSend>()
  private readonly byUpstream = new Map<types.UpstreamId, Set<OpenSend>>()

  /** `now`: monotonic ms. */
  add (open: OpenSend, now: number): void {
    for (const oldest of this.sends) {
      if (now < oldest.until && this.sends.size < maxOpenSends) break
      this.delete(oldest)
    }
    this.sends.add(open)
    const { id } = open.send.upstream.listed
    const ofUpstream = this.byUpstream.get(id) ?? new Set()
    this.byUpstream.set(id, ofUpstream.add(open))
  }

  /** Removes and returns the open sends to an upstream that has ended; those that are past their time are left out. */
  takeEnded (upstream: types.UpstreamId, now: number): OpenSend[] {
    const taken = [...this.byUpstream.get(upstream) ?? []]
    for (const open of taken) this.delete(open)
    return taken.filter(({ until }) => now < until)
  }

  /** The open sends of a request. */
  list (fingerprint: types.RequestFingerprint): OpenSend[] {
    return [...this.sends].filter((open) => open.fingerprint === fingerprint)
  }

  get size (): number {
    return this.sends.size
  }

  private delete (open: OpenSend): void {
    this.sends.delete(open)
    const { id } = open.send.upstream.listed
    const ofUpstream = this.byUpstream.get(id)
    ofUpstream?.delete(open)
    if (ofUpstream?.size === 0) this.byUpstream.delete(id)
  }
}
