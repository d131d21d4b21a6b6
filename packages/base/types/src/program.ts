/** Data of a program: its start, its calls and their outcomes. */
import type * as ids from './ids.js'

/** Upper bounds on what one program may use. */
export interface Budget {
  /** Tokens, prompt and generated together. */
  readonly tokens: number
  /** Calls to models and services. */
  readonly calls: number
  /** Price in millionths of the currency of the configuration. */
  readonly microCost: number
  /** Wall time from start, in milliseconds. */
  readonly wallMs: number
}

/** Part of a budget that is used or reserved. */
export interface Usage {
  readonly tokens: number
  readonly calls: number
  readonly microCost: number
}

/** Parameters that a program was started with. */
export interface ProgramStart {
  readonly program: ids.ProgramId
  readonly client: ids.ClientId
  readonly kind: ids.KindId
  readonly deadline: ids.EpochMs
  readonly budget: Budget
}

/** A caller's request to start a program; missing values come from the configuration of its kind. */
export interface StartRequest {
  readonly program: ids.ProgramId
  readonly client: ids.ClientId
  readonly kind: ids.KindId
  readonly deadline: ids.EpochMs | null
  readonly budget: Partial<Budget>
}

/** One message of a conversation, in the chat-completions format. Unknown members are kept unchanged. */
export interface ChatMessage {
  readonly role: string
  readonly content: unknown
  readonly [member: string]: unknown
}

/** Target of a call, with the content of the request. */
export type CallTarget =
  | { readonly type: 'model', readonly model: ids.ModelId, readonly messages: readonly ChatMessage[], readonly maxTokens: number, readonly options: Readonly<Record<string, unknown>> }
  | { readonly type: 'service', readonly service: ids.ServiceId, readonly path: string, readonly body: unknown }

/** One call of a program. */
export interface Call {
  readonly program: ids.ProgramId
  readonly client: ids.ClientId
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  /** Position in its branch, from 1. */
  readonly seq: number
  readonly idempotent: boolean
  readonly timeoutMs: number
  readonly target: CallTarget
}

/** Outcome of a call, as it is stored in the journal and the history. */
export type CallOutcome =
  | { readonly type: 'message', readonly message: ChatMessage, readonly finishReason: string }
  | { readonly type: 'service', readonly status: number, readonly body: unknown }
  /** Failed, without further attempts; the verdict says whether it may have run. */
  | { readonly type: 'failed', readonly verdict: 'mayHaveRun' | 'ran', readonly tag: string, readonly message: string }

/** Tokens that an engine reports for a call. */
export interface TokenCount {
  readonly prompt: number
  readonly cached: number
  readonly generated: number
}

/** One finished call in a program's history. */
export interface Turn {
  readonly key: ids.RequestKey
  readonly branch: ids.BranchId
  readonly seq: number
  /** Digest of the request, to tell a repeat from another request under the same key. */
  readonly digest: string
  readonly target: CallTarget
  readonly outcome: CallOutcome
  readonly usage: Usage
  readonly tokens: TokenCount
  readonly upstream: ids.UpstreamId
  readonly startedAt: ids.EpochMs
  readonly endedAt: ids.EpochMs
}
