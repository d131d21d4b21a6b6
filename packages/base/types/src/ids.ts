/** Branded ids: strings and numbers that the compiler keeps apart. */

declare const brand: unique symbol
/** A primitive that carries the name of what it identifies, at compile time only. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name }

export type ProgramId = Branded<string, 'ProgramId'>
export type RequestKey = Branded<string, 'RequestKey'>
export type BranchId = Branded<string, 'BranchId'>
export type HostId = Branded<string, 'HostId'>
export type AvailabilityZoneId = Branded<string, 'AvailabilityZoneId'>
export type RegionId = Branded<string, 'RegionId'>
export type UpstreamId = Branded<string, 'UpstreamId'>
/** A client account of the published configuration, by its name. */
export type AccountId = Branded<string, 'AccountId'>
export type ClientId = Branded<string, 'ClientId'>
export type KindId = Branded<string, 'KindId'>
export type ModelId = Branded<string, 'ModelId'>
export type ServiceId = Branded<string, 'ServiceId'>
export type StreamName = Branded<string, 'StreamName'>
/** One run of one process: a new one after every restart. */
export type Incarnation = Branded<string, 'Incarnation'>
/** Offset of a record in a stream of the platform's log, from 0. */
export type LogOffset = Branded<number, 'LogOffset'>
/** Fencing number of a program's home: the position of the claim that won. */
export type Term = Branded<number, 'Term'>
/** Version of the published configuration: the offset of the record that made it, plus one; 0 before the first. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>
/** Milliseconds since the epoch. */
export type EpochMs = Branded<number, 'EpochMs'>

/** The branch that every program starts with. */
export const mainBranch = 'main' as BranchId

/** Characters an id may have: safe in a path, a header, a stream and a file name. */
export const idPattern = /^[A-Za-z0-9][A-Za-z0-9._~-]{0,127}$/

/** Whether a text from outside may become an id. */
export function isId (text: unknown): text is string {
  return typeof text === 'string' && idPattern.test(text)
}
