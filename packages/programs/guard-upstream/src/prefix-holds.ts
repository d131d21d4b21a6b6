/**
 * Leases on prefixes that an engine keeps pinned for programs. Whatever has no lease here is released:
 * a lapsed lease, a dropped one, and a session found pinned that nobody here holds.
 */
import type * as engineClient from '@eelgrasswind/engine-client'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** How often pinned sessions are compared with the leases, in milliseconds. */
export const sweepPeriodMs = 5_000
/** No lease is longer than this, in milliseconds. */
export const maxHoldMs = 10 * 60_000

interface Lease {
  readonly term: types.Term
  readonly expiry: timerService.Subscription
}

export interface PrefixHolds {
  hold: (program: types.ProgramId, term: types.Term, holdMs: number) => Promise<errors.Result<void>>
  drop: (program: types.ProgramId, term: types.Term) => Promise<errors.Result<void>>
  readonly size: number
  close: () => void
}

export interface PrefixHoldsSettings {
  readonly engine: engineClient.EngineClient
  readonly timers: timerService.TimerService
  /** Called with the number of sessions that a sweep released. */
  readonly onSwept: (released: number) => void
}

export function createPrefixHolds (settings: PrefixHoldsSettings): PrefixHolds {
  const { engine, timers } = settings
  const leases = new Map<types.ProgramId, Lease>()
  const sweeping = timers.every(sweepPeriodMs, () => { void sweep() })

  function forget (program: types.ProgramId): void {
    leases.get(program)?.expiry.cancel()
    leases.delete(program)
  }

  async function hold (program: types.ProgramId, term: types.Term, holdMs: number): Promise<errors.Result<void>> {
    const known = leases.get(program)
    if (known !== undefined && known.term > term) return { ok: true, value: undefined }
    forget(program)
    const expiry = timers.after(Math.min(holdMs, maxHoldMs), () => { void release(program) })
    leases.set(program, { term, expiry })
    const result = await engine.hold(program)
    if (!result.ok) forget(program)
    return result
  }

  async function drop (program: types.ProgramId, term: types.Term): Promise<errors.Result<void>> {
    const known = leases.get(program)
    if (known !== undefined && known.term > term) return { ok: true, value: undefined }
    return await release(program)
  }

  async function release (program: types.ProgramId): Promise<errors.Result<void>> {
    forget(program)
    return await engine.release(program)
  }

  async function sweep (): Promise<void> {
    const held = await engine.listHeldSessions()
    if (!held.ok) return
    let released = 0
    for (const { session } of held.value) {
      if (leases.has(session)) continue
      const result = await engine.release(session)
      if (result.ok) released += 1
    }
    if (released > 0) settings.onSwept(released)
  }

  function close (): void {
    sweeping.cancel()
    for (const program of [...leases.keys()]) forget(program)
  }

  return { hold, drop, get size () { return leases.size }, close }
}
