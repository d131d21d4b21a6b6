/** Interface of the client of a model engine. */
import type * as types from '@eelgrasswind/types'
import type * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'

/** A request for one generation. */
export interface EngineRequest {
  /** Sent as `x-request-id`. An answer that does not return it is rejected. */
  readonly requestId: string
  readonly model: types.ModelId
  readonly messages: readonly types.ChatMessage[]
  readonly maxTokens: number
  /** Additional fields of the chat completions body, sent unchanged. */
  readonly options: Readonly<Record<string, unknown>>
  /** Lower numbers run first. */
  readonly priority: number
  /** Program whose prompt prefix the engine caches. */
  readonly session: types.ProgramId
}

/** A complete answer of an engine; its request id and end marker have been checked. */
export interface EngineAnswer {
  readonly message: types.ChatMessage
  readonly finishReason: string
  readonly tokens: types.TokenCount
}

export interface CallOptions {
  readonly signal: AbortSignal
  /** Called with each piece of the answer's text as it arrives. */
  readonly onDelta: (text: string) => void
  /** W3C trace context, sent as the header of this name. */
  readonly traceparent?: string
}

/** A session whose prefix is pinned in the engine's cache. */
export interface HeldSession {
  readonly session: types.ProgramId
  readonly tokens: number
}

/** A command that changes the state of an engine, sent with a fencing token. */
export type EngineOrder =
  | { readonly type: 'loadModel', readonly model: types.ModelId, readonly version: string }
  | { readonly type: 'loadAdapter', readonly model: types.ModelId, readonly adapter: string }
  | { readonly type: 'setRole', readonly role: 'prefill' | 'decode' | 'both' }

/** State that an engine reports. */
export interface EngineState {
  readonly models: readonly { readonly model: types.ModelId, readonly version: string }[]
  readonly adapters: readonly string[]
  readonly role: string
  /** Highest fencing token that the engine has accepted; 0 if it does not check fencing tokens. */
  readonly fencing: number
}

/** A change of an engine's prefix cache. Events are delayed, and `seq` has gaps where events were lost. */
export interface CacheEvent {
  readonly seq: number
  readonly type: 'stored' | 'evicted'
  readonly session: types.ProgramId
  readonly tokens: number
}

/**
 * Client of one model engine. Failures: `upstreamUnavailable` (refused or no connection, verdict `notRun`),
 * `upstreamFailed`, `answerBroken` (truncated, invalid, or with another request's id), `timeout`, `cancelled`.
 */
export interface EngineClient {
  complete: (req: EngineRequest, options: CallOptions) => Promise<errors.Result<EngineAnswer>>
  getLoad: () => Promise<errors.Result<types.UpstreamLoad>>
  /** Pins the cached prefix of a session. */
  hold: (session: types.ProgramId) => Promise<errors.Result<void>>
  /** Unpins and drops the cached prefix of a session. */
  release: (session: types.ProgramId) => Promise<errors.Result<void>>
  listHeldSessions: () => Promise<errors.Result<readonly HeldSession[]>>
  /** Reads the cache events from a sequence number on. */
  readCacheEvents: (fromSeq: number) => Promise<errors.Result<readonly CacheEvent[]>>
  /** Sends a command. An engine that checks fencing tokens rejects one lower than the highest that it has accepted. */
  sendOrder: (order: EngineOrder, fencingToken: number) => Promise<errors.Result<void>>
  getState: () => Promise<errors.Result<EngineState>>
  close: () => Promise<void>
}

/** A message of a cached prefix, identified by the digest of all messages up to and including it. */
export interface CacheLink {
  readonly digest: string
  readonly tokens: number
}

/** A cached prefix as transferred between engines, so that the receiver does not compute it again. */
export interface CacheExport {
  readonly session: types.ProgramId
  readonly chain: readonly CacheLink[]
}

/** Moves a session's cached prefix between engines. */
export interface EngineCacheTransfer {
  exportCache: (session: types.ProgramId) => Promise<errors.Result<CacheExport>>
  importCache: (prefix: CacheExport) => Promise<errors.Result<void>>
}

/** Settings of an engine client. */
export interface EngineSettings {
  readonly upstream: types.UpstreamId
  /** Base URL, as `http://ip:port`. */
  readonly address: string
  /** Time limit of control requests, in ms. Generations are limited by the signal of the call only. */
  readonly timeoutMs: number
  /** Maximum size of an answer, including its event framing, in bytes. */
  readonly maxAnswerBytes?: number
  /** Defaults to real timers. */
  readonly timers?: timerService.TimerService
}
