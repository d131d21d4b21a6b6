/** The decisions that are logged. A new event needs its fields in a union here, and its level and message in `eventTable`. */
import * as listenServer from '@eelgrasswind/listen-server'
import type * as messageFraming from '@eelgrasswind/message-framing'
import type * as types from '@eelgrasswind/types'

/** A shard, as it is written in a log line. */
export interface PartitionField {
  readonly topic: string
  readonly part: number
}

/** A failure, as it is written in a log line. */
export interface FailureField {
  readonly type: string
  readonly status?: number
  readonly detail?: string
}

interface RequestFields {
  /** Id of the client attempt. */
  readonly request: string
}

interface TurnFields extends RequestFields {
  readonly program: types.ProgramId
}

/** Decisions about one request. */
export type RequestDecision =
  | RequestFields & { readonly event: 'routed', readonly route: string, readonly service: string, readonly kind: RequestKind, readonly account: types.AccountId | undefined, readonly version: number, readonly leftMs: number }
  | RequestFields & { readonly event: 'unknownRoute', readonly host: string | undefined, readonly path: string, readonly version: number | undefined }
  /** The request has no key, or one that no account of this routing version has. */
  | RequestFields & { readonly event: 'unknownKey', readonly route: string, readonly key: 'none' | 'key' | 'unreadable', readonly version: number, readonly routingAgeMs: number }
  /** `by`: who decided. `requestsLeft`: what remains of the account's limit, below 0 if it is exceeded. */
  | RequestFields & { readonly event: 'overLimit', readonly program: types.ProgramId | undefined, readonly account: types.AccountId, readonly route: string, readonly part: 'first' | 'further', readonly by: 'owner' | 'share', readonly requestsLeft: number, readonly retryAfterMs: number, readonly version: number }
  /** This process exits before the request, which may need `neededMs`, would have to end. */
  | RequestFields & { readonly event: 'refusedAtShutdown', readonly route: string, readonly neededMs: number }
  /**
   * Its body had `receivedBytes` and was the largest that had not arrived whole, or came in very many pieces while too many
   * others did. `usedBytes`: of all bodies.
   */
  | RequestFields & { readonly event: 'bodyRefused', readonly route: string, readonly reason: 'bytes' | 'pieces', readonly receivedBytes: number, readonly usedBytes: number, readonly limitBytes: number }
  /** Taken back from the usage of its account as not run. `source`: who made the answer. */
  | RequestFields & { readonly event: 'requestRefunded', readonly account: types.AccountId, readonly status: number, readonly source: 'front' | 'upstream' }
  /** Forwarded to the process that owns the program. */
  | TurnFields & { readonly event: 'passedOn', readonly owner: string, readonly ownersAgeMs: number }
  | TurnFields & { readonly event: 'turnAdmitted', readonly previous: string | undefined, readonly epoch: number, readonly promptBytes: number, readonly covered: boolean, readonly budgetTokens: number | undefined, readonly maxTokens: number }
  /** For a turn that is not stored. `covered`: stored records account for its tokens already. */
  | TurnFields & { readonly event: 'tokensReserved', readonly epoch: number, readonly covered: boolean, readonly budgetTokens: number | undefined, readonly maxTokens: number }
  | TurnFields & { readonly event: 'turnRefused', readonly reason: string, readonly epoch?: number, readonly previous?: string | undefined, readonly detail: Readonly<Record<string, unknown>> }
  | RequestFields & {
    readonly event: 'sent'
    readonly attempt: number
    readonly upstream: types.UpstreamId
    /** Whether it is the upstream that has the prompt's prefix in its cache. */
    readonly preferred: boolean
    /** Requests of this process in flight at the upstream, this one included. */
    readonly running: number
    /** Requests of other processes in flight at the upstream, as last reported. */
    readonly othersRunning: number
    readonly candidates: number
    /** Age of the list of upstreams, in milliseconds. */
    readonly listAgeMs: number
    readonly leftMs: number
  }
  | RequestFields & {
    readonly event: 'sendFailed'
    readonly attempt: number
    readonly upstream: types.UpstreamId
    readonly failure: { readonly tag: string, readonly verdict: types.Verdict, readonly message: string }
    /** Whether the connection was used by an earlier request; undefined if an answer arrived. */
    readonly reused?: boolean | undefined
    readonly next: string
    readonly leftMs: number
  }
  | RequestFields & { readonly event: 'timedOut', readonly ran: boolean }
  /** The connection to an upstream broke while it ran the request, or the upstream was given up as silent; `evidence` says whether the upstream has ended. `ended`: ends that are known under it, over all attempts, with one that is reserved for this send. `sentAgoMs`: time from the send to the break. */
  | RequestFields & { readonly event: 'upstreamBroke', readonly fingerprint: types.RequestFingerprint, readonly upstream: types.UpstreamId, readonly evidence: 'alive' | 'unclear' | 'ended' | 'unreachable', readonly wasAlive: boolean, readonly ended: number, readonly sentAgoMs: number, readonly tookMs: number }
  /** The answer of an upstream that was sent the request is no longer awaited. `sentAgoMs`: time since the send; `quietMs`: time since the upstream last sent anything to this process, for any request. */
  | RequestFields & { readonly event: 'sendGivenUp', readonly upstream: types.UpstreamId, readonly why: 'clientGone' | 'deadline' | 'fault', readonly sentAgoMs: number, readonly quietMs: number }
  /** An upstream has ended some time after the answer to the request was given up; the fields are those of `upstreamBroke`. */
  | RequestFields & { readonly event: 'upstreamEndedLater', readonly fingerprint: types.RequestFingerprint, readonly upstream: types.UpstreamId, readonly evidence: 'alive' | 'unclear' | 'ended' | 'unreachable', readonly ended: number, readonly sentAgoMs: number }
  /** Not sent to an upstream, as too many have ended under it: `ends` as in `crashLimitReached`. `ran`: an earlier attempt may have run. */
  | RequestFields & { readonly event: 'crashLimited', readonly fingerprint: types.RequestFingerprint, readonly ends: readonly string[], readonly retryAfterMs: number, readonly ran: boolean }
  | RequestFields & { readonly event: 'upstreamSilent', readonly upstream: types.UpstreamId, readonly afterMs: number }
  /** The owner of the program has not confirmed the request yet; it is waited for while it is alive and owns the shard. */
  | RequestFields & { readonly event: 'ownerLate', readonly peer: string }
  | RequestFields & { readonly event: 'peerAnswerLost', readonly peer: string, readonly cause: string, readonly detail: string }
  /** The end of an upstream's answer that broke off, or that only the end of its connection marked. `whole`: it was taken for complete. */
  | RequestFields & messageFraming.AnswerEnd & { readonly event: 'answerEnded', readonly upstream: types.UpstreamId, readonly whole: boolean }
  /** `pendingBytes`: bytes of an incomplete event. */
  | RequestFields & { readonly event: 'streamBroken', readonly ran: boolean, readonly events: number, readonly pendingBytes: number, readonly reason: string, readonly detail?: string | undefined }
  | TurnFields & { readonly event: 'turnSettledElsewhere' }
  /** A completed turn that can't be kept, as a turn of the chain that it continues is missing. */
  | TurnFields & { readonly event: 'chainIncomplete', readonly epoch: number, readonly previous: string | undefined }
  | TurnFields & { readonly event: 'turnNotKept', readonly epoch: number }
  | RequestFields & { readonly event: 'ended', readonly program?: types.ProgramId | undefined, readonly kind: RequestKind, readonly outcome: RequestOutcome, readonly status: number, readonly reason?: string, readonly firstMs?: number | undefined, readonly tookMs: number }

/** Calls and streams are served by any process; a turn by the owner of its program, for a client (`turn`) or for the process that forwarded it (`passedOnTurn`). */
export type RequestKind = 'call' | 'stream' | 'turn' | 'passedOnTurn'

/** How a request ended for its client: answered completely, refused by this process, cut off within the answer, or aborted by the client. */
export type RequestOutcome = 'whole' | 'refused' | 'brokenOff' | 'clientGone'

/** A listener that clients can reach. */
export type ClientListener = 'client' | 'ready' | 'metrics'

/** Decisions and events that concern the process and not a single request. */
export type ProcessDecision =
  | { readonly event: 'started', readonly client: string, readonly peer: string, readonly zone: string, readonly settings: string }
  | listenServer.ListenEvent
  | { readonly event: 'reload', readonly settings: string, readonly outcome: string }
  | { readonly event: 'stopping', readonly underWay: number }
  /** The process was already stopping. */
  | { readonly event: 'signalIgnored', readonly signal: string }
  | { readonly event: 'stopped', readonly underWay: number, readonly tookMs: number }
  | { readonly event: 'failedToStop', readonly err: unknown }
  | { readonly event: 'routing', readonly version: number, readonly former: number | undefined, readonly routes: number, readonly accounts: number | undefined }
  | { readonly event: 'routingUnreadable', readonly version: number | undefined, readonly err: unknown }
  | { readonly event: 'upstream', readonly upstream: types.UpstreamId, readonly service: string, readonly address: string, readonly leaving: boolean }
  | { readonly event: 'upstreamGone', readonly upstream: types.UpstreamId, readonly graceMs: number }
  /** From now on the request is refused. `ends`: the upstreams that ended under it, and `send ATTEMPT` for a send that may end the last one. */
  | { readonly event: 'crashLimitReached', readonly fingerprint: types.RequestFingerprint, readonly ends: readonly string[], readonly source: 'own' | 'peer' }
  /** After its start, or a suspension, the process has asked its peers and the store which requests ended upstreams. `asked`, `answered`: numbers of peers; `counts`, `stored`: numbers of requests that peers and the store told of. */
  | { readonly event: 'crashCountsLoaded', readonly asked: number, readonly answered: number, readonly counts: number, readonly stored: number | undefined }
  | { readonly event: 'crashCountsUnreadable', readonly key: string, readonly err: unknown }
  /** `marks` and `requests`: counts of all processes within the window that the decision is based on. */
  | { readonly event: 'upstreamEjected', readonly upstream: types.UpstreamId, readonly mark: string, readonly marks: number, readonly requests: number, readonly forMs: number, readonly source: 'own' | 'peer' }
  | { readonly event: 'loadReportUnreadable', readonly from: string, readonly err: unknown }
  | { readonly event: 'loadNotShared', readonly err: unknown }
  | { readonly event: 'upstreamUnreadable', readonly key: string, readonly err: unknown }
  | { readonly event: 'assignment', readonly generation: number, readonly owned: number, readonly handedOver: number }
  /** A peer has not answered pings. `connection`: whether its host accepted a new connection, as it does for a process that is merely busy; `pingedMs`: how long it had to answer. */
  | { readonly event: 'peerUnanswered', readonly peer: string, readonly connection: 'accepted' | 'refused' | 'noAnswer', readonly pingedMs: number }
  /** All peers were pinged, as some were suspected. `unreachable`: those whose hosts accepted no connection. */
  | { readonly event: 'peersPinged', readonly suspects: readonly string[], readonly pinged: number, readonly unreachable: number, readonly tookMs: number }
  /** The event loop of this process was busy for nearly all of the last period. `busyShare`: from 0 to 1. */
  | { readonly event: 'busy', readonly busyShare: number, readonly underWay: number, readonly shards: number }
  /** The heap of this process has come near the limit at which Node.js ends it without a line. */
  | { readonly event: 'heapNearLimit', readonly usedMb: number, readonly limitMb: number, readonly underWay: number, readonly shards: number }
  /** A connection was ended whose client does not read its answers. `waitedMs`: since it has last read. `usedBytes`: of all connections. */
  | { readonly event: 'answersUnread', readonly reason: 'bytes' | 'timeout', readonly unsentBytes: number, readonly waitedMs: number, readonly usedBytes: number, readonly limitBytes: number }
  /** Connections of a listener beyond its bound were closed within the last second. `open`: connections that it has now. */
  | { readonly event: 'connectionsClosed', readonly listener: ClientListener, readonly closed: number, readonly open: number, readonly maxConnections: number }
  | { readonly event: 'leaseNotRenewed', readonly failure: FailureField }
  /** The process that counts the requests of the group's accounts can't be reached. */
  | { readonly event: 'meterOwnerAway', readonly group: number, readonly why: string, readonly term: number, readonly answerAgeMs: number, readonly hosts: number }
  /** An owner with another term answers. Terms rise with each owner; `former` is -1 before the first answer. */
  | { readonly event: 'meterOwnerChanged', readonly group: number, readonly term: number, readonly former: number, readonly answerAgeMs: number }
  /** Requests of an account near its limit, or without an owner, since the last such line: admitted by the owner, from the allowance that it gave this host and, while the owner was away, by its share. */
  | {
    readonly event: 'accountUsage'
    readonly account: types.AccountId
    readonly group: number
    readonly term: number
    /** Age of the owner's last answer, in ms. */
    readonly answerAgeMs: number
    /** Number of hosts that the share is computed from. */
    readonly hosts: number
    readonly owner: number
    readonly allowance: number
    readonly share: number
    readonly refused: number
    readonly refunded: number
  }
  /** As the new owner of an account group. `stored`: accounts of which the store held a state. `handedOver`: whether the former owner had ended in good order; otherwise nothing is refilled for a while. */
  | { readonly event: 'accountGroupOpened', readonly group: number, readonly term: number, readonly stored: number, readonly handedOver: boolean, readonly tookMs: number }
  | { readonly event: 'accountGroupLost', readonly group: number, readonly term: number, readonly reason: string }
  | { readonly event: 'accountRecordUnreadable', readonly group: number, readonly key: string, readonly err: unknown }
  /** As the owner of its group: what was left of an account when a host, the `reporter`, named it first. `basis`: whether the store held a state. */
  | { readonly event: 'accountOpened', readonly account: types.AccountId, readonly group: number, readonly term: number, readonly reporter: string, readonly basis: 'stored' | 'default', readonly requestsLeft: number, readonly capacity: number }
  /** As the owner of its group: a host has sent requests without permission. */
  | { readonly event: 'accountOverdrawn', readonly account: types.AccountId, readonly group: number, readonly term: number, readonly reporter: string, readonly requests: number }
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
  /** Loaded turns that can't be continued: a turn of their chain is missing. `first`: one of them. */
  | { readonly event: 'chainsIncomplete', readonly partition: PartitionField, readonly epoch: number, readonly turns: number, readonly first: string }
  /** `key`: of the first record that can't be decoded; `unreadable`: number of such records. The shard is read again. */
  | { readonly event: 'shardUnreadable', readonly partition: PartitionField, readonly epoch: number, readonly key: string | undefined, readonly unreadable: number, readonly err: unknown }
  /** An error that the code does not expect: a bug. */
  /** A bug. `request`: the one that failed by it; `undefined` if it can't be told. */
  | { readonly event: 'unexpected', readonly err: unknown, readonly request?: string | undefined }
  | { readonly event: 'peerCallFailed', readonly err: unknown }

/** Any decision that is logged. */
export type Decision = RequestDecision | ProcessDecision

/** Name of a decision: the field `event` of its line. */
export type DecisionEvent = Decision['event']

/** Level and message of the line of an event. */
export interface EventInfo {
  readonly level: 'info' | 'warn' | 'error'
  readonly message: string
}

/** Level and message of the line of every event. */
export const eventTable: Readonly<Record<DecisionEvent, EventInfo>> = {
  routed: { level: 'info', message: 'route chosen' },
  unknownRoute: { level: 'info', message: 'no route matches' },
  unknownKey: { level: 'info', message: 'no client account has the key of the request' },
  overLimit: { level: 'info', message: 'the client account has used up its limit' },
  refusedAtShutdown: { level: 'info', message: 'refused: the process may exit before the request ends' },
  bodyRefused: { level: 'warn', message: 'refused: the bodies of all requests exceed their budget, or too many come in very small pieces' },
  requestRefunded: { level: 'info', message: 'not run; no longer counted for its client account' },
  passedOn: { level: 'info', message: 'forwarded to the owner of the program' },
  turnAdmitted: { level: 'info', message: 'turn admitted; reserving its tokens' },
  tokensReserved: { level: 'info', message: 'tokens of a turn reserved' },
  turnRefused: { level: 'info', message: 'turn refused' },
  sent: { level: 'info', message: 'sent to an upstream' },
  sendFailed: { level: 'warn', message: 'no usable answer from the upstream' },
  upstreamBroke: { level: 'warn', message: 'connection broke under a request; examined whether its upstream has ended' },
  sendGivenUp: { level: 'info', message: 'answer of an upstream no longer awaited' },
  upstreamEndedLater: { level: 'warn', message: 'upstream ended after a request to it was given up' },
  crashLimited: { level: 'warn', message: 'not sent: too many upstreams have ended under this request' },
  upstreamSilent: { level: 'warn', message: 'no data from the upstream; new requests avoid it' },
  timedOut: { level: 'warn', message: 'request timed out' },
  ownerLate: { level: 'info', message: 'the owner of the program is late; examining whether it is alive' },
  peerAnswerLost: { level: 'warn', message: 'no complete answer from the owner of the program' },
  peerUnanswered: { level: 'info', message: 'no answer to pings; examined whether the host accepts connections' },
  peersPinged: { level: 'info', message: 'pinged all peers, as some were suspected' },
  busy: { level: 'warn', message: 'hardly any processor time left; answers to clients and peers are late' },
  heapNearLimit: { level: 'warn', message: 'heap is near its limit, at which Node.js ends the process' },
  answersUnread: { level: 'warn', message: 'a client reads no answers; closed its connection' },
  connectionsClosed: { level: 'warn', message: 'too many connections; closed those that had no request in flight for longest' },
  answerEnded: { level: 'info', message: 'end of an answer that its framing does not mark' },
  streamBroken: { level: 'warn', message: 'stream ended without a complete answer' },
  turnSettledElsewhere: { level: 'info', message: 'turn stored by the next owner of its shard' },
  chainIncomplete: { level: 'error', message: 'turn not kept: the chain that it continues is incomplete' },
  turnNotKept: { level: 'warn', message: 'turn could not be stored; its answer is cut off' },
  ended: { level: 'info', message: 'request ended' },
  started: { level: 'info', message: 'started' },
  ...listenServer.listenEvents,
  reload: { level: 'info', message: 'settings read again' },
  stopping: { level: 'info', message: 'stopping' },
  signalIgnored: { level: 'info', message: 'signal ignored; already stopping' },
  stopped: { level: 'info', message: 'stopped' },
  failedToStop: { level: 'error', message: 'graceful shutdown failed' },
  routing: { level: 'info', message: 'new routing in effect' },
  routingUnreadable: { level: 'error', message: 'invalid routing document; the previous routing stays in effect' },
  upstream: { level: 'info', message: 'upstream listed' },
  upstreamGone: { level: 'info', message: 'upstream no longer listed' },
  crashLimitReached: { level: 'warn', message: 'too many upstreams have ended under a request; it is refused' },
  crashCountsLoaded: { level: 'info', message: 'asked the other processes and the store which requests have ended upstreams' },
  crashCountsUnreadable: { level: 'warn', message: 'invalid record of requests that have ended upstreams' },
  upstreamEjected: { level: 'warn', message: 'upstream fails or is slow far more often than usual; new requests avoid it' },
  loadReportUnreadable: { level: 'warn', message: 'invalid load report from another process' },
  loadNotShared: { level: 'warn', message: 'load report could not be sent' },
  upstreamUnreadable: { level: 'error', message: 'invalid entry of an upstream' },
  assignment: { level: 'info', message: 'shards reassigned' },
  leaseNotRenewed: { level: 'warn', message: 'lease not renewed' },
  meterOwnerAway: { level: 'warn', message: 'no answer from the process that counts requests of client accounts; this host applies its share of the limits' },
  meterOwnerChanged: { level: 'info', message: 'another process counts the requests of client accounts' },
  accountUsage: { level: 'info', message: 'requests of a client account near its limit, or while nobody counts them' },
  accountOverdrawn: { level: 'warn', message: 'a host has sent requests of a client account without permission' },
  accountGroupOpened: { level: 'info', message: 'began to count the requests of a group of client accounts' },
  accountGroupLost: { level: 'info', message: 'another process counts the requests of a group of client accounts' },
  accountRecordUnreadable: { level: 'error', message: 'stored state of a client account could not be read' },
  accountOpened: { level: 'info', message: 'began to count the requests of a client account' },
  groupLeft: { level: 'info', message: 'left the group of shard owners' },
  memberEvicted: { level: 'warn', message: 'member evicted; its lease was released' },
  ownersNotRead: { level: 'warn', message: 'could not read the owners of the shards' },
  shardOpened: { level: 'info', message: 'shard opened' },
  shardNotRead: { level: 'warn', message: 'could not read the shard; retrying' },
  shardLost: { level: 'warn', message: 'ownership of the shard lost' },
  appendUnanswered: { level: 'warn', message: 'append not acknowledged' },
  storeAway: { level: 'warn', message: 'store does not answer' },
  storeBack: { level: 'info', message: 'store answers again' },
  changesMissed: { level: 'warn', message: 'changes expired before they were read' },
  storeRelayed: { level: 'warn', message: 'the store does not serve this process; calls go through a peer' },
  storeDirect: { level: 'info', message: 'the store serves this process again' },
  cutOff: { level: 'warn', message: 'cut off from the other processes; releasing the shards of this process' },
  reachable: { level: 'info', message: 'the other processes answer again' },
  chainsIncomplete: { level: 'error', message: 'turns of the shard can not be continued: their chains are incomplete' },
  shardUnreadable: { level: 'error', message: 'invalid record in the shard; the shard is not served' },
  unexpected: { level: 'error', message: 'unexpected error' },
  peerCallFailed: { level: 'error', message: 'peer call failed' }
}
