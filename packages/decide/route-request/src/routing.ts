/** The published routing in the product's own terms: what the operator says about routes, services and limits. */
import type * as types from '@eelgrasswind/types'

/** What may happen to a request more than once. */
export type Repeatability =
  /** May run any number of times. */
  | 'idempotent'
  /** May run once at most for each client attempt. */
  | 'atMostOnce'

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: types.ServiceId
  /** Relative weight, above 0. */
  readonly weight: number
}

/** How a route that answers with an event stream is judged. */
export interface StreamRules {
  /** Longest pause between two events that is still on time, in ms. */
  readonly gapMs: number
  /** Another upstream can go on after the last event that was received. */
  readonly resumable: boolean
}

/** What is remembered of the turns of agent programs. */
export interface RetainRules {
  /** Whether what was said is kept, for later turns to continue from. */
  readonly keepsTurns: boolean
  /** How long after the last turn, in ms; the budgets of programs are remembered on every route that names it. */
  readonly retainMs: number
}

/** What holds for the requests of one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeatability: Repeatability
  readonly targets: readonly WeightedService[]
  /** The longest that a request is kept waiting for its answer, in ms. */
  readonly timeoutMs: number
  /** The time within which an answer earns its full worth, in ms. */
  readonly objectiveMs: number
  /** Rank of the route: 0 is the most important. */
  readonly rank: number
  /** The most upstreams that one client attempt may be sent to. */
  readonly maxAttempts: number
  readonly stream: StreamRules | undefined
  readonly retain: RetainRules | undefined
  /** Takes requests without the key of a client account. */
  readonly isPublic: boolean
}

/** What the operator says of the model engines of a service. */
export interface EngineRules {
  /** Requests that an engine runs at once. */
  readonly slots: number
  /** Tokens that an engine's memory holds. */
  readonly memoryTokens: number
  /** Tokens that one event of a stream counts for. */
  readonly tokensPerEvent: number
}

/** A kind of upstream that routes send requests to. */
export interface Service {
  readonly name: types.ServiceId
  readonly engine: EngineRules | undefined
}

/** What a client account may send: a token bucket over all hosts together. */
export interface AccountLimit {
  readonly requestsPerSecond: number
  /** Requests that it may send at once after a quiet time. */
  readonly burst: number
}

/** A client account as the operator publishes it. */
export interface ClientAccount {
  readonly name: types.AccountId
  /** Any of them says that a request is the account's. */
  readonly keys: readonly string[]
  /** `undefined`: not limited. */
  readonly limit: AccountLimit | undefined
}

/** What a client may send, and how long it may take. */
export interface ClientBounds {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One published version in full. */
export interface Routing {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<types.ServiceId, Service>
  readonly bounds: ClientBounds
  /** `undefined`: requests carry no keys. */
  readonly accounts: readonly ClientAccount[] | undefined
}
