/** What the system asks of a model engine. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** One generation. */
export interface EngineRequest {
  /** Sent as the request id; the engine's answer must carry it back. */
  readonly requestId: string
  readonly model: types.ModelId
  readonly messages: readonly types.ChatMessage[]
  readonly maxTokens: number
  /** Further members of the chat-completions body, passed on as they are. */
  readonly options: Readonly<Record<string, unknown>>
  /** Lower runs first. */
  readonly priority: number
  /** Whose prefix the engine caches. */
  readonly session: types.ProgramId
}

/** The whole answer of an engine, checked for its request id and its closing marker. */
export interface EngineAnswer {
  readonly message: types.ChatMessage
  readonly finishReason: string
  readonly tokens: types.TokenCount
}

export interface CallOptions {
  readonly signal: AbortSignal
  readonly onDelta: (text: string) => void
  readonly traceparent?: string
}

/** A prefix that the engine keeps pinned for a session. */
export interface HeldSession {
  readonly session: types.ProgramId
  readonly tokens: number
}

/** What an order asks of an engine; each carries a fencing number. */
export type EngineOrder =
  | { readonly type: 'loadModel', readonly model: types.ModelId, readonly version: string }
  | { readonly type: 'loadAdapter', readonly model: types.ModelId, readonly adapter: string }
  | { readonly type: 'setRole', readonly role: 'prefill' | 'decode' | 'both' }

/** What an engine says is in force on it. */
export interface EngineState {
  readonly models: readonly { readonly model: types.ModelId, readonly version: string }[]
  readonly adapters: readonly string[]
  readonly role: string
  /** Highest fencing number that it has taken, 0 where it keeps none. */
  readonly fencing: number
}

/** One change of an engine's prefix cache; events come late and with gaps in `seq`. */
export interface CacheEvent {
  readonly seq: number
  readonly type: 'stored' | 'evicted'
  readonly session: types.ProgramId
  readonly tokens: number
}

/**
 * Failures: `upstreamUnavailable` (notRun: refused or no connection), `upstreamFailed`, `answerBroken`
 * (cut short, or another request's id), `timeout`, `cancelled`.
 */
export interface EngineClient {
  complete: (req: EngineRequest, options: CallOptions) => Promise<errors.Result<EngineAnswer>>
  getLoad: () => Promise<errors.Result<types.UpstreamLoad>>
  hold: (session: types.ProgramId) => Promise<errors.Result<void>>
  release: (session: types.ProgramId) => Promise<errors.Result<void>>
  listHeldSessions: () => Promise<errors.Result<readonly HeldSession[]>>
  readCacheEvents: (fromSeq: number) => Promise<errors.Result<readonly CacheEvent[]>>
  sendOrder: (order: EngineOrder, fencing: number) => Promise<errors.Result<void>>
  getState: () => Promise<errors.Result<EngineState>>
  close: () => Promise<void>
}

/** A message of a cached prefix, named by the digest of all up to it. */
export interface CacheLink {
  readonly digest: string
  readonly tokens: number
}

/** What one engine gives another to spare it the computing of a prefix. */
export interface CacheExport {
  readonly session: types.ProgramId
  readonly chain: readonly CacheLink[]
}

/** Moves a session's cached prefix between engines. */
export interface EngineCacheTransfer {
  exportCache: (session: types.ProgramId) => Promise<errors.Result<CacheExport>>
  importCache: (prefix: CacheExport) => Promise<errors.Result<void>>
}

export interface EngineSettings {
  readonly upstream: types.UpstreamId
  readonly address: string
  /** For short requests other than generations, in milliseconds. */
  readonly timeoutMs: number
  /** Most bytes of an answer, its framing included. */
  readonly maxAnswerBytes?: number
  /** The process clock where left out. */
  readonly timers?: timerService.TimerService
}
