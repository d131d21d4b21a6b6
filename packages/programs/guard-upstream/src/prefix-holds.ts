/**
 * Leases on the prefixes that an engine keeps pinned in its cache for programs. A prefix is released when its lease
 * expires or is dropped, and when a sweep finds it pinned without a lease.
 */
import type * as engineClient from '@eelgrasswind/engine-client'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'

/** Interval of the sweeps that compare pinned sessions with the leases, in milliseconds. */
export const sweepIntervalMs = 5_000
/** Maximum duration of a lease, in milliseconds. */
export const maxHoldMs = 10 * 60_000

interface Lease {
  readonly term: types.Term
  readonly expiry: timerService.Subscription
}

/** Leases of one engine, by program. A request with an older term than that of the lease is ignored. */
export interface PrefixHolds {
  /** Pins the prefix of a program for `holdMs` milliseconds, at most `maxHoldMs`. */
  hold: (program: types.ProgramId, term: types.Term, holdMs: number) => Promise<errors.Result<void>>
  /** Releases the prefix of a program. */
  drop: (program: types.ProgramId, term: types.Term) => Promise<errors.Result<void>>
  readonly size: number
  close: () => void
}

/** Dependencies of prefix holds. */
export interface PrefixHoldsSettings {
  readonly engine: engineClient.EngineClient
  readonly timers: timerService.TimerService
  /** Called with the number of sessions that a sweep released. */
  readonly onSwept: (released: number) => void
}

/** Creates the leases of an engine and starts the sweeps. */
export function createPrefixHolds (settings: PrefixHoldsSettings): PrefixHolds {
  const { engine, timers } = settings
  const leases = new Map<types.ProgramId, Lease>()
  const sweepTimer = timers.every(sweepIntervalMs, () => { void sweep() })

  function removeLease (program: types.ProgramId): void {
    leases.get(program)?.expiry.cancel()
    leases.delete(program)
  }

  async function hold (program: types.ProgramId, term: types.Term, holdMs: number): Promise<errors.Result<void>> {
    const currentLease = leases.get(program)
    if (currentLease !== undefined && currentLease.term > term) return { ok: true, value: undefined }
    removeLease(program)
    const expiry = timers.after(Math.min(holdMs, maxHoldMs), () => { void release(program) })
    leases.set(program, { term, expiry })
    const result = await engine.hold(program)
    if (!result.ok) removeLease(program)
    return result
  }

  async function drop (program: types.ProgramId, term: types.Term): Promise<errors.Result<void>> {
    const currentLease = leases.get(program)
    if (currentLease !== undefined && currentLease.term > term) return { ok: true, value: undefined }
    return await release(program)
  }

  async function release (program: types.ProgramId): Promise<errors.Result<void>> {
    removeLease(program)
    return await engine.release(program)
  }

  async function sweep (): Promise<void> {
    const pinnedSessions = await engine.listHeldSessions()
    if (!pinnedSessions.ok) return
    let releasedCount = 0
    for (const { session } of pinnedSessions.value) {
      if (leases.has(session)) continue
      const result = await engine.release(session)
      if (result.ok) releasedCount += 1
    }
    if (releasedCount > 0) settings.onSwept(releasedCount)
  }

  function close (): void {
    sweepTimer.cancel()
    for (const program of [...leases.keys()]) removeLease(program)
  }

  return { hold, drop, get size () { return leases.size }, close }
}
