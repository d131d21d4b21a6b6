/** Limits how many upstreams may end under a call of a program, over all attempts and repeats of its caller. */
import * as errors from '@eelgrasswind/errors'
import * as limitCrashes from '@eelgrasswind/limit-crashes'
import type * as logger from '@eelgrasswind/logger'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as attempts from './attempt.js'

/** Dependencies of `CallCrashes`. */
export interface CallCrashesDeps {
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
}

/** Counts the ends of upstreams by program and request digest: a caller may repeat a call under another key. */
export class CallCrashes {
  private readonly records = new limitCrashes.CrashRecords()

  constructor (private readonly deps: CallCrashesDeps) {}

  /** Counts an attempt whose upstream ended; `sentAt` in monotonic ms. Other failures have no effect. */
  noteFailure (attempt: attempts.Attempt, upstream: types.UpstreamId, failure: errors.Failure, sentAt: number): void {
    if (failure.tag !== 'answerBroken' || failure.detail !== errors.upstreamEndedDetail) return
    const now = this.deps.timers.monotonic()
    this.records.noteEnd({ request: getFingerprint(attempt), upstream, isExclusive: true, wasAlive: true, sentAgoMs: now - sentAt, endedAgoMs: 0 }, now)
  }

  /** The failure of a call that must not be dispatched again; `undefined` if it may be. */
  findLimit (attempt: attempts.Attempt): errors.FailureOf<'crashLimited'> | undefined {
    const now = this.deps.timers.monotonic()
    const fingerprint = getFingerprint(attempt)
    const retryAfterMs = this.records.getRefusalMs(fingerprint, now)
    if (retryAfterMs === undefined) return undefined
    const { program, runningCall } = attempt
    this.deps.logger.warn({ program: program.id, call: runningCall.call.key, ends: this.records.get(fingerprint, now)?.ends }, 'call not dispatched: too many upstreams have ended under it')
    return { tag: 'crashLimited', verdict: 'notRun', message: 'too many upstreams have ended under this call', retryAfterMs: Math.ceil(retryAfterMs) }
  }
}

function getFingerprint ({ program, runningCall }: attempts.Attempt): types.RequestFingerprint {
  return `${program.id}/${runningCall.digest}` as types.RequestFingerprint
}
