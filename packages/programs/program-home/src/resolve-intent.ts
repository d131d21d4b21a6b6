/**
 * Finds out what became of a non-idempotent dispatch whose answer is missing, without ever dispatching again:
 * the sidecar that it was meant for seals the key, or says how it ended.
 */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as ports from './ports.js'

export type IntentEnd =
  /** It never ran and never will. */
  | { readonly type: 'notRun' }
  | { readonly type: 'answered', readonly answer: types.DispatchAnswer }
  | { readonly type: 'failed', readonly verdict: 'mayHaveRun' | 'ran', readonly tag: string, readonly message: string }

export interface IntentRef {
  readonly program: types.ProgramId
  readonly key: types.RequestKey
  readonly upstream: types.UpstreamId
  /** Position of the intent, or any later position of the same program where that is not known. */
  readonly position: types.Term
  /** When it was written, by its home's clock. */
  readonly at: types.EpochMs
  readonly dispatchTo: types.ProcessRef
}

/** Between two questions while the call still runs, or its sidecar can't be reached, in milliseconds. */
const askPeriodMs = 250
/** A sidecar that can't be reached for so long is given up on, in milliseconds. */
const unreachablePatienceMs = 5_000

export interface ResolveDeps {
  readonly dispatchPort: Pick<ports.DispatchPort, 'seal'>
  readonly hosts: Pick<ports.HostsPort, 'stateOf' | 'getIncarnation'>
  readonly timers: timerService.TimerService
}

/** `runningPatienceMs`: how long a call that still runs there is waited for. */
export async function resolveIntent (deps: ResolveDeps, intent: IntentRef, runningPatienceMs: number): Promise<IntentEnd> {
  const startedAt = deps.timers.monotonic()
  let reachedAt = startedAt
  for (;;) {
    const sealed = await deps.dispatchPort.seal(intent.dispatchTo.host, sealOf(intent))
    const now = deps.timers.monotonic()
    if (sealed.ok) {
      reachedAt = now
      const end = endOf(sealed.value)
      if (end !== undefined) return end
      if (now - startedAt > runningPatienceMs) return unknownEnd('timeout', 'it is still running')
    } else if (isReplaced(deps, intent) || now - reachedAt > unreachablePatienceMs) {
      return unknownEnd(sealed.failure.tag, `its sidecar can't say: ${sealed.failure.message}`)
    }
    await timerService.sleep(deps.timers, askPeriodMs)
  }
}

function sealOf (intent: IntentRef): types.Seal {
  return { program: intent.program, key: intent.key, upstream: intent.upstream, intent: intent.position, intentAt: intent.at, incarnation: intent.dispatchTo.incarnation }
}

function endOf (state: types.SealState): IntentEnd | undefined {
  switch (state.type) {
    case 'sealed': return { type: 'notRun' }
    case 'running': return undefined
    case 'answered': return { type: 'answered', answer: state.answer }
    case 'failed': return state
    case 'otherIncarnation': return unknownEnd('wrongIncarnation', 'its sidecar was replaced')
    case 'forgotten': return unknownEnd('timeout', 'it is too long ago')
    default: return errors.assertNever(state)
  }
}

function isReplaced (deps: ResolveDeps, intent: IntentRef): boolean {
  const { host, incarnation } = intent.dispatchTo
  if (deps.hosts.stateOf(host) === 'gone') return true
  const latest = deps.hosts.getIncarnation(host)
  return latest !== undefined && latest !== incarnation
}

function unknownEnd (tag: string, message: string): IntentEnd {
  return { type: 'failed', verdict: 'mayHaveRun', tag, message }
}
