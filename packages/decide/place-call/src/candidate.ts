/** Input and result types of call placement, and the placement rules. */
import type * as types from '@eelgrasswind/types'

/** An upstream's load from its last report, which is out of date to some degree. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  /** Time of the measurement, in milliseconds on the clock of `now`. */
  readonly at: number
}

/** An upstream that may take the call. */
export interface Candidate {
  readonly upstream: types.UpstreamId
  readonly host: types.HostId
  readonly availabilityZone: types.AvailabilityZoneId
  /** Calls of this process that run or are queued there; always up to date. */
  readonly inFlight: number
  /** Undefined before the first report. */
  readonly reported: ReportedLoad | undefined
  /** Calls of this process that were in flight there at the time of the report, including those that have ended since. */
  readonly inFlightAtReport: number
  /** Calls that it runs concurrently. */
  readonly slots: number
  /** Estimated number of tokens of this program's prefix that are cached there. */
  readonly cachedTokens: number
  readonly state: 'live' | 'leaving' | 'suspect'
  /** Time per token as a multiple of the typical one; 1 is typical. From `createSlowUpstreamDetector`. */
  readonly slowFactor: number
}

/** The placement strategy. */
export type PlaceRule =
  | { readonly type: 'roundRobin' }
  /** The lowest reported load, regardless of its age. */
  | { readonly type: 'leastLoaded' }
  /** The better of two random candidates, by reported load and own calls in flight (power of two choices). */
  | { readonly type: 'twoChoices' }
  /** The engine with affinity to the program, unless another would respond more than `spillMarginMs` sooner; no margin for a first call. */
  | { readonly type: 'homeFirst', readonly costs: PlaceCosts, readonly spillMarginMs: number }

/** Cost model of the engines, in milliseconds. */
export interface PlaceCosts {
  readonly prefillMsPerToken: number
  /** Time per output token with a single stream. */
  readonly decodeMsPerToken: number
  /** Relative slowdown of decoding per further stream in the batch. */
  readonly slowdownPerStream: number
  /** Cost of transferring a cached token from another engine; undefined if engines cannot import. */
  readonly importMsPerToken: number | undefined
  /** Typical run time of a call, to estimate the queueing delay. */
  readonly typicalCallMs: number
}

/** Input of one placement. */
export interface PlaceInput {
  readonly home: types.HostId
  /** The upstream of the program's last call, which has its prefix cached; undefined for a first call. */
  readonly lastUpstream: types.UpstreamId | undefined
  readonly candidates: readonly Candidate[]
  readonly promptTokens: number
  readonly expectedTokens: number
  /** Number of calls placed by this process, for round robin. */
  readonly turn: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** A candidate that was considered, with its load and estimated cost. */
export interface ConsideredCandidate {
  readonly upstream: types.UpstreamId
  /** Estimated number of calls that run or are queued there. */
  readonly load: number
  /** Expected time to the end of the call; undefined if the rule estimates no cost. */
  readonly costMs: number | undefined
}

/** Why the upstream was selected. */
export type PlaceReason =
  | { readonly type: 'turn' }
  | { readonly type: 'leastLoaded' }
  | { readonly type: 'betterOfTwo' }
  /** The engine on the program's home host. */
  | { readonly type: 'home' }
  /** The engine that has the program's prefix cached. */
  | { readonly type: 'prefix', readonly cachedTokens: number }
  /** Queueing would have cost more than recomputing or importing the prefix elsewhere. */
  | { readonly type: 'spill', readonly savedMs: number, readonly prefix: 'recompute' | 'import' }
  /** Neither the engine on the home host nor that of the last call is usable. */
  | { readonly type: 'homeUnavailable' }

/** Result of a placement. */
export type Placement =
  | {
    readonly type: 'placed'
    readonly upstream: types.UpstreamId
    readonly host: types.HostId
    /** The upstream to import the prefix from; undefined to recompute what is not cached. */
    readonly importFrom: types.UpstreamId | undefined
    readonly reason: PlaceReason
    readonly considered: readonly ConsideredCandidate[]
  }
  | { readonly type: 'none', readonly retryAfterMs: number, readonly reason: 'noUpstream' | 'allLeaving' }

/** Costs of a medium-sized model; measure those of your own engines, see docs/tuning.md. */
export const defaultPlaceCosts: PlaceCosts = {
  prefillMsPerToken: 0.25,
  decodeMsPerToken: 20,
  slowdownPerStream: 0.06,
  importMsPerToken: undefined,
  typicalCallMs: 3_000
}

/** The `homeFirst` rule with its default settings. */
export const defaultPlaceRule: PlaceRule = { type: 'homeFirst', costs: defaultPlaceCosts, spillMarginMs: 1_500 }
