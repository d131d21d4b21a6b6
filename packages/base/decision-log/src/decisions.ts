/** The decisions that are logged. A new kind needs its fields here, a message and a level below. */
import type * as types from '@eelgrasswind/types'

/** A shard, as a line names it. */
export interface PartitionField {
  readonly topic: string
  readonly part: number
}

/** A failure of any kind, by its type. */
export interface FailureField {
  readonly type: string
  readonly status?: number
  readonly detail?: string
}

interface OfRequest {
  /** Id of the client attempt. */
  readonly request: string
}

interface OfTurn extends OfRequest {
  readonly program: types.ProgramId
}

/** Decisions that touch one request. */
export type RequestDecision =
  | OfRequest & { readonly event: 'routed', readonly route: string, readonly service: string, readonly kind: RequestKind, readonly account: types.AccountId | undefined, readonly version: number, readonly leftMs: number }
  | OfRequest & { readonly event: 'unknownRoute', readonly host: string | undefined, readonly path: string, readonly version: number | undefined }
  /** No account of this version has the key that came, or none came. */
  | OfRequest & { readonly event: 'unknownKey', readonly route: string, readonly key: 'none' | 'key' | 'unreadable', readonly version: number, readonly routingAgeMs: number }
  /** By: who decided. Requests left: of the account's limit, below 0 where it has gone beyond. */
  | OfRequest & { readonly event: 'overLimit', readonly program: types.ProgramId | undefined, readonly account: types.AccountId, readonly route: string, readonly part: 'first' | 'further', readonly by: 'owner' | 'share', readonly requestsLeft: number, readonly retryAfterMs: number, readonly version: number }
  /** Passed to the process that owns the program. */
  | OfTurn & { readonly event: 'passedOn', readonly owner: string, readonly ownersAgeMs: number }
  | OfTurn & { readonly event: 'turnAdmitted', readonly previous: string | undefined, readonly epoch: number, readonly promptBytes: number, readonly covered: boolean, readonly budgetTokens: number | undefined, readonly maxTokens: number }
  /** For a turn of which nothing is kept. Covered: stored records counted its tokens before. */
  | OfTurn & { readonly event: 'tokensReserved', readonly epoch: number, readonly covered: boolean, readonly budgetTokens: number | undefined, readonly maxTokens: number }
  | OfTurn & { readonly event: 'turnRefused', readonly reason: string, readonly epoch?: number, readonly previous?: string | undefined, readonly detail: Readonly<Record<string, unknown>> }
  | OfRequest & {
    readonly event: 'sent'
    readonly attempt: number
    readonly upstream: types.UpstreamId
    /** Whether it is the upstream that holds the prompt's beginning. */
    readonly preferred: boolean
    /** Requests of this process that run there, this one included. */
    readonly running: number
    /** Requests that other processes have running there, as they last reported. */
    readonly othersRunning: number
    readonly candidates: number
    /** Age of the list of upstreams. */
    readonly listAgeMs: number
    readonly leftMs: number
  }
  | OfRequest & {
    readonly event: 'sendFailed'
    readonly attempt: number
    readonly upstream: types.UpstreamId
    readonly failure: { readonly tag: string, readonly verdict: types.Verdict, readonly message: string }
    /** Whether the connection had carried a request before; none where an answer came. */
    readonly reused?: boolean | undefined
    readonly next: string
    readonly leftMs: number
  }
  | OfRequest & { readonly event: 'timedOut', readonly ran: boolean }
  | OfRequest & { readonly event: 'upstreamSilent', readonly upstream: types.UpstreamId, readonly afterMs: number }
  | OfRequest & { readonly event: 'peerAnswerLost', readonly peer: string, readonly cause: string, readonly detail: string }
  | OfRequest & { readonly event: 'streamBroken', readonly ran: boolean, readonly events: number, readonly reason: string }
  | OfTurn & { readonly event: 'turnSettledElsewhere' }
  | OfTurn & { readonly event: 'turnNotKept', readonly epoch: number }
  | OfRequest & { readonly event: 'ended', readonly program?: types.ProgramId | undefined, readonly kind: RequestKind, readonly outcome: RequestOutcome, readonly status: number, readonly reason?: string, readonly firstMs?: number | undefined, readonly tookMs: number }

/** Calls and streams are served by any process; a turn by the owner of its program, for a client or for the process that passed it on. */
export type RequestKind = 'call' | 'stream' | 'turn' | 'passedOnTurn'

/** How a request ended for its client: answered, refused by this process, cut in the answer, or left by the client. */
export type RequestOutcome = 'whole' | 'refused' | 'brokenOff' | 'clientGone'

/** Decisions that change what this process believes. */
export type BeliefDecision =
  | { readonly event: 'started', readonly client: string, readonly peer: string, readonly zone: string, readonly settings: string }
  | { readonly event: 'reload', readonly settings: string, readonly outcome: string }
  | { readonly event: 'stopping', readonly underWay: number }
  /** The process is stopping already. */
  | { readonly event: 'signalIgnored', readonly signal: string }
  | { readonly event: 'stopped', readonly underWay: number, readonly tookMs: number }
  | { readonly event: 'failedToStop', readonly err: unknown }
  | { readonly event: 'routing', readonly version: number, readonly former: number | undefined, readonly routes: number, readonly accounts: number | undefined }
  | { readonly event: 'routingUnreadable', readonly version: number | undefined, readonly err: unknown }
  | { readonly event: 'upstream', readonly upstream: types.UpstreamId, readonly service: string, readonly address: string, readonly leaving: boolean }
  | { readonly event: 'upstreamGone', readonly upstream: types.UpstreamId, readonly graceMs: number }
  /** Marks and requests: of all processes, within the window that decides. */
  | { readonly event: 'upstreamEjected', readonly upstream: types.UpstreamId, readonly mark: string, readonly marks: number, readonly requests: number, readonly forMs: number, readonly source: 'own' | 'peer' }
  | { readonly event: 'loadReportUnreadable', readonly from: string, readonly err: unknown }
  | { readonly event: 'loadNotShared', readonly err: unknown }
  | { readonly event: 'upstreamUnreadable', readonly key: string, readonly err: unknown }
  | { readonly event: 'assignment', readonly generation: number, readonly owned: number, readonly handedOver: number }
  | { readonly event: 'leaseNotRenewed', readonly failure: FailureField }
  /** Whoever counts the accounts of the group can't be asked. */
  | { readonly event: 'meterOwnerAway', readonly group: number, readonly why: string }
  | { readonly event: 'groupLeft', readonly outcome: string }
  | { readonly event: 'memberEvicted', readonly member: string, readonly why: 'ended' | 'silent', readonly outcome: string }
  | { readonly event: 'ownersNotRead', readonly failure: FailureField }
  | { readonly event: 'shardOpened', readonly partition: PartitionField, readonly epoch: number, readonly records: number, readonly tookMs: number }
  | { readonly event: 'shardNotRead', readonly partition: PartitionField, readonly failure: FailureField }
  | { readonly event: 'shardLost', readonly partition: PartitionField, readonly epoch: number, readonly reason: string }
  | { readonly event: 'appendUnanswered', readonly partition: PartitionField, readonly epoch: number, readonly attempt: number, readonly failure: FailureField }
  | { readonly event: 'storeAway', readonly topic: string, readonly failure: FailureField }
  | { readonly event: 'storeBack', readonly topic: string }
  | { readonly event: 'changesMissed', readonly topic: string, readonly from: number }
  | { readonly event: 'storeRelayed', readonly peer: string, readonly call: string, readonly failure: FailureField }
  | { readonly event: 'storeDirect', readonly peer: string }
  | { readonly event: 'cutOff', readonly peers: number }
  | { readonly event: 'reachable', readonly peers: number }
  | { readonly event: 'shardUnreadable', readonly partition: PartitionField, readonly epoch: number, readonly err: unknown }
  /** A fault of ours. */
  | { readonly event: 'unexpected', readonly err: unknown }
  | { readonly event: 'peerCallFailed', readonly err: unknown }

/** Everything that is logged. */
export type Decision = RequestDecision | BeliefDecision

/** Name of a decision, as the field `event` of its line. */
export type DecisionEvent = Decision['event']

/** How the line of an event is written. */
export interface EventInfo {
  readonly level: 'info' | 'warn' | 'error'
  readonly message: string
}

/** Level and message of every event. */
export const eventTable: Readonly<Record<DecisionEvent, EventInfo>> = {
  routed: { level: 'info', message: 'route chosen' },
  unknownRoute: { level: 'info', message: 'no route matches' },
  unknownKey: { level: 'info', message: 'no client account has the key of the request' },
  overLimit: { level: 'info', message: 'the client account has used its limit up' },
  passedOn: { level: 'info', message: 'passed on to the owner of the program' },
  turnAdmitted: { level: 'info', message: 'turn admitted, its tokens are being reserved' },
  tokensReserved: { level: 'info', message: 'tokens of a turn reserved' },
  turnRefused: { level: 'info', message: 'turn refused' },
  sent: { level: 'info', message: 'sent to an upstream' },
  sendFailed: { level: 'warn', message: 'no usable answer from the upstream' },
  upstreamSilent: { level: 'warn', message: 'nothing comes from the upstream, new requests avoid it' },
  timedOut: { level: 'warn', message: 'no answer in time' },
  peerAnswerLost: { level: 'warn', message: 'no whole answer from the owner of the program' },
  streamBroken: { level: 'warn', message: 'stream ended without a whole answer' },
  turnSettledElsewhere: { level: 'info', message: 'turn kept by the next owner of its shard' },
  turnNotKept: { level: 'warn', message: 'turn could not be kept, its answer is broken off' },
  ended: { level: 'info', message: 'request ended' },
  started: { level: 'info', message: 'started' },
  reload: { level: 'info', message: 'settings read again' },
  stopping: { level: 'info', message: 'stopping' },
  signalIgnored: { level: 'info', message: 'signal came while stopping' },
  stopped: { level: 'info', message: 'stopped' },
  failedToStop: { level: 'error', message: 'did not end cleanly' },
  routing: { level: 'info', message: 'routing in force' },
  routingUnreadable: { level: 'error', message: 'routing not understood, the former one stays in force' },
  upstream: { level: 'info', message: 'upstream listed' },
  upstreamGone: { level: 'info', message: 'upstream no longer listed' },
  upstreamEjected: { level: 'warn', message: 'upstream fails or lags far more often than usual, new requests avoid it' },
  loadReportUnreadable: { level: 'warn', message: 'load report of another process not understood' },
  loadNotShared: { level: 'warn', message: 'load report could not be sent' },
  upstreamUnreadable: { level: 'error', message: 'entry of an upstream not understood' },
  assignment: { level: 'info', message: 'shards dealt anew' },
  leaseNotRenewed: { level: 'warn', message: 'lease not renewed' },
  meterOwnerAway: { level: 'warn', message: 'requests of client accounts are not counted for a moment, this host keeps to its share' },
  groupLeft: { level: 'info', message: 'left the group that shares the shards' },
  memberEvicted: { level: 'warn', message: 'a member was given up, its lease was given back' },
  ownersNotRead: { level: 'warn', message: 'owners of the shards not read' },
  shardOpened: { level: 'info', message: 'shard opened' },
  shardNotRead: { level: 'warn', message: 'shard not read yet' },
  shardLost: { level: 'warn', message: 'shard lost' },
  appendUnanswered: { level: 'warn', message: 'append not acknowledged' },
  storeAway: { level: 'warn', message: 'store does not answer' },
  storeBack: { level: 'info', message: 'store answers again' },
  changesMissed: { level: 'warn', message: 'changes expired before they were read' },
  storeRelayed: { level: 'warn', message: 'the store does not serve this process, calls go through a peer' },
  storeDirect: { level: 'info', message: 'the store serves this process again' },
  cutOff: { level: 'warn', message: 'cut off from the other processes, giving its shards up' },
  reachable: { level: 'info', message: 'the other processes answer again' },
  shardUnreadable: { level: 'error', message: 'a record of the shard is not understood, the shard is not served' },
  unexpected: { level: 'error', message: 'unexpected error' },
  peerCallFailed: { level: 'error', message: 'call of a peer failed' }
}
