/** The holds of a home's programs, and what they cost when a program never returns. */
import * as retainPrefix from '@eelgrasswind/retain-prefix'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as homes from './home.js'
import type * as measures from './measures.js'
import type * as upstreams from './upstream.js'

interface Pause {
  readonly kind: types.KindId
  readonly upstream: upstreams.Upstream
  readonly tokens: number
  readonly since: number
  readonly until: number
}

export class HoldBook {
  readonly #rule: retainPrefix.HoldRule
  readonly #recorder: measures.Recorder
  readonly #timers: timerService.TimerService
  readonly #pauses = new Map<string, Pause>()
  readonly #learner = retainPrefix.createPauseLearner()

  constructor (rule: retainPrefix.HoldRule, recorder: measures.Recorder, timers: timerService.TimerService) {
    this.#rule = rule
    this.#recorder = recorder
    this.#timers = timers
  }

  /** A call has ended, and a pause of unknown length begins. */
  ended (call: homes.HomeCall, upstream: upstreams.Upstream, tokens: number): void {
    const now = this.#timers.now()
    const kind = learntKind(call)
    const hold = retainPrefix.decideHold(this.#rule, {
      prefixTokens: tokens,
      pauses: this.#learner.getStats(kind),
      leftMs: call.script.deadline - now,
      survivalMs: upstream.evictionAge.getSurvivalMs(now)
    })
    upstream.engine.cache.hold(call.prefix, hold.holdMs)
    this.#pauses.set(call.prefix, { kind, upstream, tokens, since: now, until: now + hold.holdMs })
  }

  /** The next call of the branch has come. */
  returned (prefix: string): void {
    const pause = this.#pauses.get(prefix)
    if (pause === undefined) return
    this.#learner.observe(pause.kind, { type: 'returned', afterMs: this.#timers.now() - pause.since })
  }

  /** That call was placed; a hold elsewhere is of no more use, nor is the copy where the program has moved for good. */
  placed (prefix: string, upstream: upstreams.Upstream, moved: boolean): void {
    const pause = this.#pauses.get(prefix)
    if (pause === undefined) return
    this.#pauses.delete(prefix)
    if (pause.upstream === upstream) return
    if (moved) pause.upstream.engine.cache.drop(prefix)
    else pause.upstream.engine.cache.hold(prefix, 0)
  }

  /** The program has ended. */
  gone (prefix: string): void {
    const pause = this.#pauses.get(prefix)
    if (pause === undefined) return
    const now = this.#timers.now()
    this.#pauses.delete(prefix)
    this.#learner.observe(pause.kind, { type: 'gone', afterMs: now - pause.since })
    this.#recorder.heldTokenSeconds += pause.tokens * (Math.min(now, pause.until) - pause.since) / 1000
    pause.upstream.engine.cache.drop(prefix)
  }
}

/** Sub-agents pause otherwise than main lines, and their last call is not announced. */
function learntKind (call: homes.HomeCall): types.KindId {
  const kind = call.script.profile.kind
  return call.isSubAgent ? `${kind}.sub` as types.KindId : kind
}
