/** Finds out whether upstreams end because of requests that were sent to them, also after these were given up. */
import * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as openSends from './open-sends.js'
import type * as upstreamProbe from './upstream-probe.js'
import * as upstreamWatch from './upstream-watch.js'

/** Dependencies of `SendWatch`. */
export interface SendWatchPorts {
  readonly timers: timerService.TimerService
  readonly probe: Pick<upstreamProbe.UpstreamProbe, 'examine'>
  readonly connections: Pick<sendHttp.OpenConnections, 'list' | 'onClose'>
  readonly openIdleConnection: (address: string) => Promise<sendHttp.IdleConnection>
}

/** An upstream works on a request that was given up until the deadline that it was told, and some time beyond, in ms. */
const overtimeMs = 500
/** Bounds of the time for which a send that was given up stays open, in ms. */
const minOpenMs = 1_000
const maxOpenMs = 10_000
/** The same for a send that the upstream has answered, in ms. */
const answeredOpenMs = 250

/** A send that may stay open. */
export type SendToWatch = Omit<openSends.OpenSend, 'since' | 'until' | 'wasGivenUp'>

/** Keeps the sends open that had no proper answer, and watches their upstreams. */
export class SendWatch {
  private readonly sends = new openSends.OpenSends()
  private readonly upstreams: upstreamWatch.UpstreamWatch

  /** `onEnded`: the upstreams of open sends have ended. */
  constructor (private readonly ports: SendWatchPorts, private readonly onEnded: (ended: readonly openSends.OpenSend[], evidence: sendHttp.ProcessEvidence) => void) {
    this.upstreams = new upstreamWatch.UpstreamWatch({
      ...ports,
      examine: (upstream) => ports.probe.examine(upstream),
      onEnded: (upstream, evidence) => { this.noteEnded(upstream, evidence) }
    })
  }

  /** Examines the upstream of a send that has just broken or was given up as silent. If it has ended, other open sends to it have ended it, too. */
  async examine (upstream: trackUpstreams.Upstream): Promise<sendHttp.ProcessEvidence> {
    const evidence = await this.ports.probe.examine(upstream)
    if (sendHttp.hasEnded(evidence)) this.noteEnded(upstream, evidence)
    return evidence
  }

  /** Keeps a send open that was given up, as its upstream may end because of it. Returns until when, in monotonic ms. */
  keepOpen (sent: SendToWatch, deadlineAt: number): number {
    const now = this.ports.timers.monotonic()
    const openMs = Math.min(maxOpenMs, Math.max(minOpenMs, deadlineAt + overtimeMs - now))
    return this.add({ ...sent, wasGivenUp: true, since: now, until: now + openMs }, true)
  }

  /** The same for a send that the upstream has answered with a failure. No connection is opened for it, as these are many while a service is overloaded. */
  keepAnsweredOpen (sent: SendToWatch): void {
    const now = this.ports.timers.monotonic()
    this.add({ ...sent, wasGivenUp: false, since: now, until: now + answeredOpenMs }, false)
  }

  /** Whether there is no open send, so that no request needs to be looked up. */
  get isEmpty (): boolean {
    return this.sends.size === 0
  }

  /** The open sends of a request that were given up. */
  listGivenUp (fingerprint: types.RequestFingerprint): openSends.OpenSend[] {
    const now = this.ports.timers.monotonic()
    return this.sends.list(fingerprint).filter(({ wasGivenUp, until }) => wasGivenUp && now < until)
  }

  /** The unfinished examinations of upstreams that may end because of a request. */
  listExaminations (fingerprint: types.RequestFingerprint): Promise<void>[] {
    return this.sends.list(fingerprint).flatMap(({ send }) => this.upstreams.getExamination(send.upstream.listed.id) ?? [])
  }

  /** An upstream is known to have ended. */
  noteEnded (upstream: trackUpstreams.Upstream, evidence: sendHttp.ProcessEvidence): void {
    const { id } = upstream.listed
    this.upstreams.drop(id)
    const ended = this.sends.takeEnded(id, this.ports.timers.monotonic())
    // One that was about to leave has not ended because of a request.
    if (ended.length > 0 && !upstream.listed.leaving) this.onEnded(ended, evidence)
  }

  close (): void {
    this.upstreams.close()
  }

  private add (open: openSends.OpenSend, mayConnect: boolean): number {
    this.sends.add(open, this.ports.timers.monotonic())
    this.upstreams.watch(open.send.upstream, open.until, mayConnect)
    return open.until
  }
}
