/**
 * Determines the outcome of a non-idempotent dispatch whose answer was lost, without dispatching it again: the target
 * sidecar either seals the request key, so that the request can never run, or reports how the request ended.
 */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as ports from './ports.js'

/** Outcome of a dispatch; verdict mayHaveRun means that it stays unknown. */
export type IntentOutcome =
  /** The request did not run; its key is sealed, so it never will. */
  | { readonly type: 'notRun' }
  | { readonly type: 'answered', readonly answer: types.DispatchAnswer }
  | { readonly type: 'failed', readonly verdict: 'mayHaveRun' | 'ran', readonly tag: string, readonly message: string }

/** Identifies an intent and the sidecar it was dispatched to. */
export interface IntentRef {
  readonly program: types.ProgramId
  readonly key: types.RequestKey
  readonly upstream: types.UpstreamId
  /** Log position of the intent record, or any later position of the same program if that is not known. */
  readonly position: types.Term
  /** When the intent was written, by the clock of the home that wrote it. */
  readonly at: types.EpochMs
  readonly dispatchTo: types.ProcessRef
}

/** Poll interval while the request is still running or its sidecar is unreachable. */
const pollIntervalMs = 250
/** The outcome is reported as unknown once the sidecar has been unreachable for this long. */
const unreachableTimeoutMs = 5_000

export interface ResolveIntentDeps {
  readonly dispatchPort: Pick<ports.DispatchPort, 'seal'>
  readonly hosts: Pick<ports.HostsPort, 'stateOf' | 'getIncarnation'>
  readonly timers: timerService.TimerService
}

/** Polls the target sidecar until the outcome is known. A request still running after `runningTimeoutMs` counts as unknown. */
export async function resolveIntent (deps: ResolveIntentDeps, intent: IntentRef, runningTimeoutMs: number): Promise<IntentOutcome> {
  const startedAt = deps.timers.monotonic()
  let lastReachedAt = startedAt
  for (;;) {
    const sealed = await deps.dispatchPort.seal(intent.dispatchTo.host, toSeal(intent))
    const now = deps.timers.monotonic()
    if (sealed.ok) {
      lastReachedAt = now
      const outcome = toOutcome(sealed.value)
      if (outcome !== undefined) return outcome
      if (now - startedAt > runningTimeoutMs) return createUnknownOutcome('timeout', 'the request is still running')
    } else if (isReplaced(deps, intent) || now - lastReachedAt > unreachableTimeoutMs) {
      return createUnknownOutcome(sealed.failure.tag, `the sidecar did not report the outcome: ${sealed.failure.message}`)
    }
    await timerService.sleep(deps.timers, pollIntervalMs)
  }
}

function toSeal (intent: IntentRef): types.Seal {
  return { program: intent.program, key: intent.key, upstream: intent.upstream, intent: intent.position, intentAt: intent.at, incarnation: intent.dispatchTo.incarnation }
}

function toOutcome (state: types.SealState): IntentOutcome | undefined {
  switch (state.type) {
    case 'sealed': return { type: 'notRun' }
    case 'running': return undefined
    case 'answered': return { type: 'answered', answer: state.answer }
    case 'failed': return state
    case 'otherIncarnation': return createUnknownOutcome('wrongIncarnation', 'the sidecar was restarted or replaced')
    case 'forgotten': return createUnknownOutcome('timeout', 'the sidecar no longer keeps a record of the request')
    default: return errors.assertNever(state)
  }
}

function isReplaced (deps: ResolveIntentDeps, intent: IntentRef): boolean {
  const { host, incarnation } = intent.dispatchTo
  if (deps.hosts.stateOf(host) === 'gone') return true
  const latest = deps.hosts.getIncarnation(host)
  return latest !== undefined && latest !== incarnation
}

function createUnknownOutcome (tag: string, message: string): IntentOutcome {
  return { type: 'failed', verdict: 'mayHaveRun', tag, message }
}
