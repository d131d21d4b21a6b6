/** How requests and answers are written on the wire. The adapter implements it; nothing else knows header names. */
import type * as http from 'node:http'
import type * as identifyClient from '@eelgrasswind/identify-client'
import type * as types from '@eelgrasswind/types'
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as turnLedger from '@eelgrasswind/turn-ledger'

/** What a turn of a program says of itself. */
export interface TurnFields {
  readonly program: types.ProgramId
  /** The turn that it continues from. */
  readonly previous: turnLedger.TurnId | undefined
  /** Tokens of its whole prompt; 0 where it does not say. */
  readonly promptTokens: number
  /** The most tokens that it may make. */
  readonly maxTokens: number
  /** Tokens that all turns of the program may make together. */
  readonly budgetTokens: number | undefined
  /** Time until the program should be finished, in ms. */
  readonly finishMs: number | undefined
  /** Parts of the prompt in order, each an id that requests with the same text share. */
  readonly promptParts: readonly string[]
}

/** One attempt of a client at a request. */
export interface ClientAttempt {
  readonly id: turnLedger.TurnId
  /** How long the client waits from now on, in ms; `undefined` where it does not say. */
  readonly deadlineMs: number | undefined
  /** The program that makes the request, if it says so. */
  readonly program: types.ProgramId | undefined
  /** Present on requests of programs that name a token limit. */
  readonly turn: TurnFields | undefined
}

/** A request as its headers say it, or the field that is wrong. */
export type DecodedAttempt =
  | { readonly type: 'attempt', readonly attempt: ClientAttempt }
  | { readonly type: 'invalid', readonly field: string, readonly expected: string }

/** What the head of an upstream's answer says beside its status. */
export interface AnswerFacts {
  /** The request that it answers, as the upstream says. */
  readonly requestId: string | undefined
  /** Carries the upstream's signature, which every answer of its own has. */
  readonly signed: boolean
  /** The upstream states that it did not run the request, and will not. */
  readonly notRun: boolean
  /** The address belongs to another incarnation than the one that was asked for. */
  readonly wrongIncarnation: boolean
}

/** What the system adds to a request that it sends to an upstream. */
export interface UpstreamFields {
  /** Time left for the answer, in ms. */
  readonly deadlineMs: number
  /** Name of the upstream that the request is meant for. */
  readonly upstream: string
  readonly bodyBytes: number
  /** Id of the last event that was received: the upstream goes on after it. `undefined`: as the client asked. */
  readonly resumeAfter: string | undefined
  /** Who asks. Where the configuration has accounts, their keys are not passed on. */
  readonly caller: identifyClient.Caller
}

/** Reads and writes the headers of requests and answers. */
export interface Dialect {
  /** The key that a request carries; several are unreadable. */
  readonly presentedKey: (raw: readonly string[]) => identifyClient.PresentedKey
  readonly decodeAttempt: (headers: http.IncomingHttpHeaders) => DecodedAttempt
  /** Headers of a request to an upstream: what the client sent end to end, less what is the system's to set. */
  readonly upstreamHeaders: (raw: readonly string[], fields: UpstreamFields) => string[]
  /** Headers of a request passed on to a peer, which decodes them as this process did. */
  readonly peerHeaders: (raw: readonly string[], fields: { readonly deadlineMs: number, readonly bodyBytes: number, readonly caller: identifyClient.Caller }) => string[]
  readonly answerFacts: (head: sendHttp.Head) => AnswerFacts
  /** End-to-end headers of an answer, name and value in turn. */
  readonly answerHeaders: (raw: readonly string[]) => string[]
}
