/** Branded ids: strings and numbers that have distinct types at compile time. */

declare const brand: unique symbol
/** A primitive with the name of what it identifies in its type; the name does not exist at run time. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name }

export type ProgramId = Branded<string, 'ProgramId'>
export type RequestKey = Branded<string, 'RequestKey'>
export type BranchId = Branded<string, 'BranchId'>
export type HostId = Branded<string, 'HostId'>
export type AvailabilityZoneId = Branded<string, 'AvailabilityZoneId'>
export type RegionId = Branded<string, 'RegionId'>
export type UpstreamId = Branded<string, 'UpstreamId'>
/** Name of a client account in the published configuration. */
export type AccountId = Branded<string, 'AccountId'>
export type ClientId = Branded<string, 'ClientId'>
export type KindId = Branded<string, 'KindId'>
export type ModelId = Branded<string, 'ModelId'>
export type ServiceId = Branded<string, 'ServiceId'>
export type StreamName = Branded<string, 'StreamName'>
/** Identifies a request over all attempts of its client. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>
/** Identifies one run of a process: it changes with every restart. */
export type Incarnation = Branded<string, 'Incarnation'>
/** Offset of a record in a stream of the platform's log, from 0. */
export type LogOffset = Branded<number, 'LogOffset'>
/** Fencing token of a program's home: the journal position of the record that made it the home. */
export type Term = Branded<number, 'Term'>
/** Version of the published configuration: the log offset of the record that created it, plus one; 0 before the first. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>
/** Milliseconds since the epoch. */
export type EpochMs = Branded<number, 'EpochMs'>

/** The branch that every program starts with. */
export const mainBranch = 'main' as BranchId

/** Pattern of an id: its characters are safe in a URL path, a header, a stream name and a file name. */
export const idPattern = /^[A-Za-z0-9][A-Za-z0-9._~-]{0,127}$/

/** Whether an untrusted value is a valid id. */
export function isId (text: unknown): text is string {
  return typeof text === 'string' && idPattern.test(text)
}
