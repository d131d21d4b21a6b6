/** Encoding of requests and answers in HTTP headers. A platform's adapter implements it; no other code knows the platform's header names. */
import type * as http from 'node:http'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as types from '@eelgrasswind/types'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as turnLedger from '@eelgrasswind/turn-ledger'

/** The fields of a turn, one request to a model in a program's series of requests. */
export interface TurnFields {
  readonly program: types.ProgramId
  /** The turn that this one continues; `undefined` if it continues none. */
  readonly previous: turnLedger.TurnId | undefined
  /** Tokens of the whole prompt; 0 if the client does not say. */
  readonly promptTokens: number
  /** Maximum number of tokens that the turn may generate. */
  readonly maxTokens: number
  /** Maximum number of tokens that all turns of the program may generate together; `undefined` without a budget. */
  readonly budgetTokens: number | undefined
  /** Time until the program should be finished, in ms; `undefined` if the client does not say. */
  readonly finishMs: number | undefined
  /** Ids of the parts of the prompt, in order; requests with the same text share an id. */
  readonly promptParts: readonly string[]
}

/** One attempt of a client at a request. */
export interface ClientAttempt {
  readonly id: turnLedger.TurnId
  /** Time that the client will wait for the answer from now on, in ms; `undefined` if it does not say. */
  readonly deadlineMs: number | undefined
  /** The program that makes the request, if it is named. */
  readonly program: types.ProgramId | undefined
  /** The program's series of turns that the request belongs to, if it is named. */
  readonly session: string | undefined
  /** Present if the request names a program and a token limit. */
  readonly turn: TurnFields | undefined
}

/** The decoded headers of a request, or the field that is invalid. */
export type DecodedAttempt =
  | { readonly type: 'attempt', readonly attempt: ClientAttempt }
  | { readonly type: 'invalid', readonly field: string, readonly expected: string }

/** What the head of an upstream's answer states besides its status. */
export interface AnswerFacts {
  /** Id of the request that the upstream claims to answer. */
  readonly requestId: string | undefined
  /** Whether the answer carries the upstream's signature; all answers that the upstream itself produces do. */
  readonly signed: boolean
  /** Whether the upstream states that it has not run the request and will not. */
  readonly notRun: boolean
  /** Whether the address belongs to another incarnation of the upstream than the one that was addressed. */
  readonly wrongIncarnation: boolean
}

/** Values for the headers that the system sets on requests to upstreams. */
export interface UpstreamFields {
  /** Time left for the answer, in ms. */
  readonly deadlineMs: number
  /** Name of the upstream that the request is addressed to. */
  readonly upstream: string
  readonly bodyBytes: number
  /** Id of the last event that was received, after which the upstream should resume the stream. `undefined` keeps what the client sent. */
  readonly resumeAfter: string | undefined
  /** Who made the request. If the routing has accounts, their keys are not forwarded. */
  readonly caller: identifyClient.Caller
}

/** Reads and writes the headers of requests and answers. */
export interface Dialect {
  /** Reads the key of a request; more than one key counts as unreadable. */
  readonly presentedKey: (raw: readonly string[]) => identifyClient.PresentedKey
  readonly decodeAttempt: (headers: http.IncomingHttpHeaders) => DecodedAttempt
  /** Headers of a request to an upstream: the client's end-to-end headers without those that the system sets, and the system's own. */
  readonly upstreamHeaders: (raw: readonly string[], fields: UpstreamFields) => string[]
  /** Headers of a request that is forwarded to a peer, which decodes them as this process did; without the length of the body, which is sent in chunks. */
  readonly peerHeaders: (raw: readonly string[], fields: { readonly deadlineMs: number, readonly caller: identifyClient.Caller }) => string[]
  readonly answerFacts: (head: sendHttp.AnswerHead) => AnswerFacts
  /** End-to-end headers of an answer, as alternating names and values. */
  readonly answerHeaders: (raw: readonly string[]) => string[]
}
