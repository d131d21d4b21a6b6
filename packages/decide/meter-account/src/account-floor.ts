/**
 * The floor of an account: the level from which the next owner starts to count if this one ends without a handover. It is
 * stored, and no request may bring the count below it before a lower one is stored. So whatever an owner granted, what it
 * granted and what its successor may grant are together within the limit. Accounts well below their limit stay above the
 * default floor, for which nothing needs to be stored.
 */
import * as accountMeter from './account-meter.js'

/** Immutable state; every operation returns a new object. */
export interface AccountFloor {
  /** The stored level; `undefined` if none is, so that the default applies. */
  readonly stored: number | undefined
  /** A level that is being stored: the next owner may find either. */
  readonly writing: number | undefined
  /** When the last write began, monotonic ms. */
  readonly writtenAt: number
}

/** Part of the capacity that the next owner starts from if nothing is stored. */
const defaultShare = 0.7
/** A lower floor is stored once less than this part of the capacity is left above the present one. */
const lowMarginShare = 0.1
/** A higher floor is stored once more than this part of the capacity is left above the present one. */
const highMarginShare = 0.6
/** Part of the capacity that a new floor leaves. */
const newMarginShare = 0.3
/** Minimum time between a write and one that raises the floor, in ms: a count that swings causes few writes. */
const raiseIntervalMs = 2_000

/** The floor of an account as loaded from the store. */
export function createFloor (stored: number | undefined): AccountFloor {
  return { stored, writing: undefined, writtenAt: -Infinity }
}

/** The level that an owner starts from. */
export function computeStartLevel (stored: number | undefined, limit: accountMeter.MeterLimit): number {
  const capacity = accountMeter.computeCapacity(limit)
  return stored === undefined ? capacity * defaultShare : Math.min(stored, capacity)
}

/** The level below which no request may bring the count, whichever of two floors is stored. */
export function computeFloorLevel ({ stored, writing }: AccountFloor, limit: accountMeter.MeterLimit): number {
  const storedLevel = computeStartLevel(stored, limit)
  return writing === undefined ? storedLevel : Math.max(storedLevel, computeStartLevel(writing, limit))
}

/** The floor to be stored next, if another one fits the level better; `level`: what is left of the count. */
export function planFloor (floor: AccountFloor, level: number, limit: accountMeter.MeterLimit, now: number): number | undefined {
  if (floor.writing !== undefined) return undefined
  const capacity = accountMeter.computeCapacity(limit)
  const current = computeFloorLevel(floor, limit)
  const lowest = accountMeter.computeLowestLevel(limit)
  const left = level - current
  const isTooHigh = left < capacity * lowMarginShare
  const isTooLow = left > capacity * highMarginShare && now - floor.writtenAt >= raiseIntervalMs
  if (!isTooHigh && !isTooLow) return undefined
  const next = Math.max(lowest, level - capacity * newMarginShare)
  return isTooHigh && next >= current ? undefined : next
}

/** Notes that a floor is being stored. */
export function startWrite (floor: AccountFloor, level: number, now: number): AccountFloor {
  return { stored: floor.stored, writing: level, writtenAt: now }
}

/** Notes that the floor that was being stored is stored. */
export function completeWrite (floor: AccountFloor): AccountFloor {
  return floor.writing === undefined ? floor : { stored: floor.writing, writing: undefined, writtenAt: floor.writtenAt }
}
