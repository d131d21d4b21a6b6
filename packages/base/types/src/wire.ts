/** Messages between the system's processes, and the events of a call's answer. */
import type * as host from './host.js'
import type * as ids from './ids.js'
import type * as journal from './journal.js'
import type * as program from './program.js'

/** The upstream that generates an answer. Each such event makes the text received before it void: the answer starts over. */
export interface Placement {
  readonly upstream: ids.UpstreamId
  readonly host: ids.HostId
}

/** Final event of an answer, sent only after the log has confirmed the record of the call. */
export interface CallEnd {
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  readonly seq: number
  readonly outcome: program.CallOutcome
  readonly tokens: program.TokenCount
  readonly usage: program.Usage
  readonly upstream: ids.UpstreamId
  /** Whether the answer comes from the history, since the key was used before. */
  readonly repeated: boolean
}

/** Receives the events of an answer as they arrive. */
export interface CallSink {
  /** The receiver needs only the complete answer: no deltas are sent to it. */
  readonly wholeOnly?: boolean
  readonly onPlaced: (placed: Placement) => void
  readonly onDelta: (text: string) => void
}

/** Metadata of a request. */
export interface RequestContext {
  /** W3C trace context of the sender, or empty. */
  readonly traceparent: string
}

/** Content of the request that a sidecar sends to an upstream of its host. */
export type DispatchPayload =
  | { readonly type: 'model', readonly model: ids.ModelId, readonly messages: readonly program.ChatMessage[], readonly maxTokens: number, readonly options: Readonly<Record<string, unknown>> }
  | { readonly type: 'service', readonly path: string, readonly body: unknown }

/** Identifies the only dispatch that a confirmed intent allows. */
export interface DispatchIntent {
  /** Position of the intent in the journal. */
  readonly position: ids.Term
  /** When it was written, by the home's clock. */
  readonly at: ids.EpochMs
  /** Incarnation of the process that the dispatch is addressed to. */
  readonly incarnation: ids.Incarnation
}

/** Inputs to the order of an upstream's queue. */
export interface QueueInput {
  readonly kind: ids.KindId
  readonly deadline: ids.EpochMs
  readonly weight: number
  /** Tokens that the program has used so far. */
  readonly attainedTokens: number
  /** Expected remaining run time of the program without queueing, this call included, in milliseconds. */
  readonly expectedRemainingMs: number
}

/** A call that is dispatched to an upstream. */
export interface Dispatch {
  readonly program: ids.ProgramId
  readonly key: ids.RequestKey
  readonly term: ids.Term
  readonly upstream: ids.UpstreamId
  /** Null for an idempotent call. */
  readonly intent: DispatchIntent | null
  readonly timeoutMs: number
  readonly queue: QueueInput
  readonly payload: DispatchPayload
}

/** Complete answer of an upstream. */
export interface DispatchAnswer {
  readonly outcome: Exclude<program.CallOutcome, { type: 'failed' }>
  readonly tokens: program.TokenCount
  /** Time that the call ran at the upstream, without queueing, in milliseconds. */
  readonly ranMs: number
  /** Load of the upstream when the call ended. */
  readonly load: host.UpstreamLoad | null
}

/** Request to seal a key at a process: if the intent has not run there, it never will. */
export interface Seal {
  readonly program: ids.ProgramId
  readonly key: ids.RequestKey
  readonly upstream: ids.UpstreamId
  readonly intent: ids.Term
  /** When the intent was written, by its home's clock. */
  readonly intentAt: ids.EpochMs
  readonly incarnation: ids.Incarnation
}

/** State of a non-idempotent dispatch after a request to seal its key. */
export type SealState =
  /** It never ran here and never will. */
  | { readonly type: 'sealed' }
  | { readonly type: 'running' }
  | { readonly type: 'answered', readonly answer: DispatchAnswer }
  /** It failed, and ran or may have run. */
  | { readonly type: 'failed', readonly verdict: 'mayHaveRun' | 'ran', readonly tag: string, readonly message: string }
  /** The process has restarted since and does not know of the dispatch. */
  | { readonly type: 'otherIncarnation' }
  /** The intent is so old that its dispatch record may have been deleted. */
  | { readonly type: 'forgotten' }

/** State of a process that it sends with every answer, so that answers serve as heartbeats. */
export interface Sender {
  readonly host: ids.HostId
  readonly incarnation: ids.Incarnation
  readonly leaving: boolean
  readonly configVersion: ids.ConfigVersion
}

/** Name of one of a client's limits. */
export type LimitName = 'calls' | 'starts'

/** Request of an entry to the owner of a client's limit for a share of it. */
export interface ShareRequest {
  readonly client: ids.ClientId
  readonly limit: LimitName
  readonly holder: ids.HostId
  /** Recent rate of requests at the entry. */
  readonly wantedPerSecond: number
  /** Number of requests that the entry wants to admit immediately. */
  readonly wantedCredit: number
}

/** A lease on a share of a client's limit. */
export interface ShareLease {
  readonly perSecond: number
  readonly burst: number
  readonly credit: number
  readonly leaseMs: number
}

/** A request to append records of a shard through another process. */
export interface ShardAppend {
  readonly shard: number
  readonly records: readonly journal.JournalRecord[]
}
