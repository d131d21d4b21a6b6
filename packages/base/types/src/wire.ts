/** What travels between the system's processes, and the pieces of a call's answer. */
import type * as host from './host.js'
import type * as ids from './ids.js'
import type * as journal from './journal.js'
import type * as program from './program.js'

/** Where an answer is produced; each time it comes, the text so far is void and starts again. */
export interface Placement {
  readonly upstream: ids.UpstreamId
  readonly host: ids.HostId
}

/** The closing event of an answer, sent only after its record is confirmed. */
export interface CallEnd {
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  readonly seq: number
  readonly outcome: program.CallOutcome
  readonly tokens: program.TokenCount
  readonly usage: program.Usage
  readonly upstream: ids.UpstreamId
  /** Whether the answer comes from the history because the key was asked before. */
  readonly repeated: boolean
}

/** Receives the pieces of an answer as they come. */
export interface CallSink {
  /** The receiver needs the whole answer only: no deltas are sent to it. */
  readonly wholeOnly?: boolean
  readonly onPlaced: (placed: Placement) => void
  readonly onDelta: (text: string) => void
}

/** What travels with a request besides its content. */
export interface RequestContext {
  /** W3C trace context of the sender, or empty. */
  readonly traceparent: string
}

/** What the sidecar beside an upstream sends to it. */
export type DispatchPayload =
  | { readonly type: 'model', readonly model: ids.ModelId, readonly messages: readonly program.ChatMessage[], readonly maxTokens: number, readonly options: Readonly<Record<string, unknown>> }
  | { readonly type: 'service', readonly path: string, readonly body: unknown }

/** Names the one dispatch that a confirmed intent allows. */
export interface DispatchIntent {
  /** Position of the intent in the journal. */
  readonly position: ids.Term
  /** When it was written, by the home's clock. */
  readonly at: ids.EpochMs
  /** The run of the receiving process that it names. */
  readonly incarnation: ids.Incarnation
}

/** What the order of an upstream's queue is decided from. */
export interface QueueInput {
  readonly kind: ids.KindId
  readonly deadline: ids.EpochMs
  readonly weight: number
  /** Tokens that the program has used so far. */
  readonly attainedTokens: number
  /** Expected time to the end of the program if nothing waits, this call included, in milliseconds. */
  readonly expectedRemainingMs: number
}

/** One call on its way to an upstream. */
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

/** The whole answer of an upstream. */
export interface DispatchAnswer {
  readonly outcome: Exclude<program.CallOutcome, { type: 'failed' }>
  readonly tokens: program.TokenCount
  /** Time that it ran at the upstream, without waiting for its turn, in milliseconds. */
  readonly ranMs: number
  /** Load of the upstream when it ended. */
  readonly load: host.UpstreamLoad | null
}

/** Which key is to be sealed at which process. */
export interface Seal {
  readonly program: ids.ProgramId
  readonly key: ids.RequestKey
  readonly upstream: ids.UpstreamId
  readonly intent: ids.Term
  /** When the intent was written, by its home's clock. */
  readonly intentAt: ids.EpochMs
  readonly incarnation: ids.Incarnation
}

/** What became of a non-idempotent dispatch. */
export type SealState =
  /** It never ran here and never will. */
  | { readonly type: 'sealed' }
  | { readonly type: 'running' }
  | { readonly type: 'answered', readonly answer: DispatchAnswer }
  /** It failed and may have run, or ran. */
  | { readonly type: 'failed', readonly verdict: 'mayHaveRun' | 'ran', readonly tag: string, readonly message: string }
  /** The process was replaced and knows nothing of it. */
  | { readonly type: 'otherIncarnation' }
  /** The intent is so old that what became of it is not kept any more. */
  | { readonly type: 'forgotten' }

/** What a process says of itself with every answer, so that answers serve as heartbeats. */
export interface Sender {
  readonly host: ids.HostId
  readonly incarnation: ids.Incarnation
  readonly leaving: boolean
  readonly configVersion: ids.ConfigVersion
}

/** Which of a client's limits. */
export type LimitName = 'calls' | 'starts'

/** An entry asks the owner of a client's limit for a share of it. */
export interface ShareRequest {
  readonly client: ids.ClientId
  readonly limit: LimitName
  readonly holder: ids.HostId
  /** Rate that the entry was lately asked for. */
  readonly wantedPerSecond: number
  /** What it would need at once. */
  readonly wantedCredit: number
}

/** A lease on a part of a client's limit. */
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
