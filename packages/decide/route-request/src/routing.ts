/** Internal model of the published routing: routes, services, client accounts and limits as configured by the operator. */
import type * as types from '@eelgrasswind/types'

/** Whether a request may be executed more than once. */
export type Repeatability =
  /** May be executed any number of times. */
  | 'idempotent'
  /** May be executed at most once per client attempt. */
  | 'atMostOnce'

/** A target service of a route. */
export interface WeightedService {
  readonly service: types.ServiceId
  /** Relative weight, above 0. */
  readonly weight: number
}

/** Rules for a route whose responses are event streams. */
export interface StreamRules {
  /** Maximum gap between two events of a stream that is on time, in ms. */
  readonly gapMs: number
  /** Whether another upstream can resume the stream after the last received event. */
  readonly resumable: boolean
}

/** Retention rules for the turns of agent programs. */
export interface RetainRules {
  /** Whether the messages of turns are stored, so that later turns can continue from them. */
  readonly keepsTurns: boolean
  /** Retention after the last turn, in ms; program budgets are kept on every route that sets it. */
  readonly retainMs: number
}

/** Routing rules for the requests to one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeatability: Repeatability
  readonly targets: readonly WeightedService[]
  /** Maximum time until the response, in ms. */
  readonly timeoutMs: number
  /** Latency objective: the time within which a response has its full value, in ms. */
  readonly objectiveMs: number
  /** Priority of the route; 0 is the highest. */
  readonly rank: number
  /** Maximum number of upstreams that one client attempt may be sent to. */
  readonly maxAttempts: number
  readonly stream: StreamRules | undefined
  readonly retain: RetainRules | undefined
  /** Whether requests without the key of a client account are accepted. */
  readonly isPublic: boolean
}

/** Configured properties of the model engines of a service. */
export interface EngineRules {
  /** Requests that an engine runs concurrently. */
  readonly slots: number
  /** Capacity of an engine's cache memory, in tokens. */
  readonly memoryTokens: number
  /** Tokens that one stream event is counted as. */
  readonly tokensPerEvent: number
}

/** A group of equivalent upstreams to which routes send requests. */
export interface Service {
  readonly name: types.ServiceId
  readonly engine: EngineRules | undefined
}

/** Rate limit of a client account: a token bucket shared by all hosts. */
export interface AccountLimit {
  readonly requestsPerSecond: number
  /** Requests that it may send at once after an idle time. */
  readonly burst: number
}

/** A client account of the published routing. */
export interface ClientAccount {
  readonly name: types.AccountId
  /** Each of the keys identifies the account. */
  readonly keys: readonly string[]
  /** `undefined` if the account is not limited. */
  readonly limit: AccountLimit | undefined
}

/** Limits on the size of client requests, and client timeouts. */
export interface ClientBounds {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One complete published version of the routing. */
export interface Routing {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<types.ServiceId, Service>
  readonly bounds: ClientBounds
  /** `undefined` if requests need no keys. */
  readonly accounts: readonly ClientAccount[] | undefined
}
