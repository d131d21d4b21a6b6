/** Status of processes and programs, for operators. */
import type * as host from './host.js'
import type * as ids from './ids.js'
import type * as program from './program.js'

/** Status of one process, as it reports it. */
export interface ProcessStatus {
  readonly host: ids.HostId
  readonly role: host.HostRole
  readonly region: ids.RegionId
  readonly availabilityZone: ids.AvailabilityZoneId
  readonly incarnation: ids.Incarnation
  readonly startedAt: ids.EpochMs
  readonly configVersion: ids.ConfigVersion
  readonly leaving: boolean
  readonly programsAtHome: number
  readonly callsInFlight: number
  /** Counters of the journal, by name. */
  readonly journal: Readonly<Record<string, number>>
  readonly upstreams: readonly UpstreamStatus[]
}

/** Status of one upstream, as the sidecar on its host reports it. */
export interface UpstreamStatus {
  readonly upstream: ids.UpstreamId
  readonly type: 'engine' | 'service'
  readonly running: number
  readonly waiting: number
  /** Number of sessions whose prefix is pinned in the engine's cache. */
  readonly holds: number
}

/** State of a program as operators see it. */
export type ProgramStateName = 'running' | 'finished'

/** Status of one program, without its history. */
export interface ProgramSummary {
  readonly program: ids.ProgramId
  readonly client: ids.ClientId
  readonly kind: ids.KindId
  readonly state: ProgramStateName
  /** How it ended; null while it runs. */
  readonly result: string | null
  readonly home: ids.HostId
  readonly term: ids.Term
  readonly turns: number
  readonly spent: program.Usage
  readonly budget: program.Budget
  readonly deadline: ids.EpochMs
  readonly startedAt: ids.EpochMs
  /** False if records of the program have expired. */
  readonly complete: boolean
}

/** A program, with its history if it was requested. */
export interface ProgramDocument {
  readonly summary: ProgramSummary
  readonly history: readonly program.Turn[] | null
}

/** Kind of a decision about a program or a call. */
export type DecisionStep = 'admission' | 'order' | 'placement' | 'retry' | 'hold' | 'takeover'

/** One decision and the reason for it. */
export interface Decision {
  readonly at: ids.EpochMs
  readonly step: DecisionStep
  readonly choice: string
  readonly reason: string
  readonly candidates: readonly string[]
}

/** The decisions about a program, or about one of its calls. */
export interface CallExplanation {
  readonly program: ids.ProgramId
  readonly key: ids.RequestKey | null
  readonly decisions: readonly Decision[]
}
