/** What placement knows of the upstreams, and what it answers. */
import type * as types from '@eelgrasswind/types'

/** An upstream's load as last reported; late. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  /** When it was so, in milliseconds on the clock of `now`. */
  readonly at: number
}

export interface Candidate {
  readonly upstream: types.UpstreamId
  readonly host: types.HostId
  readonly availabilityZone: types.AvailabilityZoneId
  /** Calls of this process that run or wait there, known at once. */
  readonly inFlight: number
  /** Undefined while nothing has been reported. */
  readonly reported: ReportedLoad | undefined
  /** Calls of this process that were in flight there when the report was made, whether ended since or not. */
  readonly inFlightAtReport: number
  /** Calls that run there at once. */
  readonly slots: number
  /** Tokens of this program's prefix that are believed to be cached there. */
  readonly cachedTokens: number
  readonly state: 'live' | 'leaving' | 'suspect'
  /** Time for each token as a multiple of what is usual; 1 is usual. From `createSlowUpstreams`. */
  readonly slowFactor: number
}

export type PlaceRule =
  | { readonly type: 'roundRobin' }
  /** The least reported load, however old. */
  | { readonly type: 'leastLoaded' }
  /** The better of two drawn at random, by reported load and own calls in flight. */
  | { readonly type: 'twoChoices' }
  /** The program's own engine, unless another would answer sooner by more than `spillMarginMs`; a first call has no margin. */
  | { readonly type: 'homeFirst', readonly costs: PlaceCosts, readonly spillMarginMs: number }

/** Prices of the engines in use, in milliseconds. */
export interface PlaceCosts {
  readonly prefillMsPerToken: number
  /** Of one stream alone. */
  readonly decodeMsPerToken: number
  /** Part by which each further stream of a batch slows the others. */
  readonly slowdownPerStream: number
  /** Moving a cached token from one engine to another; undefined where engines cannot import. */
  readonly importMsPerToken: number | undefined
  /** Time that a call usually runs, for what waits before it. */
  readonly typicalCallMs: number
}

export interface PlaceInput {
  readonly home: types.HostId
  /** Where the program's last call ran, and its prefix is; undefined for a first call. */
  readonly lastUpstream: types.UpstreamId | undefined
  readonly candidates: readonly Candidate[]
  readonly promptTokens: number
  readonly expectedTokens: number
  /** Counts the calls placed by this process, for round robin. */
  readonly turn: number
  /** From 0 up to, but without, 1. */
  readonly random: () => number
}

/** A candidate that was weighed, and at what costs. */
export interface ConsideredCandidate {
  readonly upstream: types.UpstreamId
  /** Calls that run or wait there, as believed. */
  readonly load: number
  /** Expected time to the end of the call; undefined where the rule prices nothing. */
  readonly costMs: number | undefined
}

export type PlaceReason =
  | { readonly type: 'turn' }
  | { readonly type: 'leastLoaded' }
  | { readonly type: 'betterOfTwo' }
  /** The engine beside the home. */
  | { readonly type: 'home' }
  /** Where the program's prefix is. */
  | { readonly type: 'prefix', readonly cachedTokens: number }
  /** Waiting would have cost more than recomputing or importing the prefix. */
  | { readonly type: 'spill', readonly savedMs: number, readonly prefix: 'recompute' | 'import' }
  /** Neither the home's engine nor the program's last one may be used. */
  | { readonly type: 'homeUnavailable' }

export type Placement =
  | {
    readonly type: 'placed'
    readonly upstream: types.UpstreamId
    readonly host: types.HostId
    /** Where to import the prefix from; undefined to recompute what is not cached. */
    readonly importFrom: types.UpstreamId | undefined
    readonly reason: PlaceReason
    readonly considered: readonly ConsideredCandidate[]
  }
  | { readonly type: 'none', readonly retryAfterMs: number, readonly reason: 'noUpstream' | 'allLeaving' }

/** Prices of a middle-sized model; measure your own, see docs/tuning.md. */
export const defaultPlaceCosts: PlaceCosts = {
  prefillMsPerToken: 0.25,
  decodeMsPerToken: 20,
  slowdownPerStream: 0.06,
  importMsPerToken: undefined,
  typicalCallMs: 3_000
}

export const defaultPlaceRule: PlaceRule = { type: 'homeFirst', costs: defaultPlaceCosts, spillMarginMs: 1_500 }
