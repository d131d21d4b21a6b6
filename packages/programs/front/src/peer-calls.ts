/** Short calls between front processes: MessagePack over HTTP, on the connections that also carry forwarded turns. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as msgpack from '@msgpack/msgpack'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as crashReports from './crash-reports.js'
import type * as meterCall from './meter-call.js'

/** Asks the current owner of a program to store a turn that ended at a previous owner. */
export interface SettleCall {
  readonly type: 'settle'
  readonly request: turnLedger.TurnRequest
  readonly end: Extract<turnLedger.TurnEnd, { type: 'whole' }>
}

/** The same for a turn whose reservation was lost with the shard: none of its tokens were handed out. */
export interface SettleUnreservedCall extends Omit<SettleCall, 'type'> {
  readonly type: 'settleUnreserved'
}

/** Asks the owner of a program to reserve the tokens of a turn that the calling process runs. */
export interface ReserveCall {
  readonly type: 'reserve'
  readonly request: turnLedger.TurnRequest
  readonly service: types.ServiceId
  /** Tokens of the whole prompt; 0 if the client does not say. */
  readonly promptTokens: number
  /** Ids of the parts of the prompt, in order. */
  readonly promptParts: readonly string[]
}

/** The owner's answer to a reservation. */
export type ReserveAnswer =
  /** The turn may deliver its tokens. `holder`: the upstream that has the beginning of the prompt in its cache, if the owner knows it. */
  | { readonly type: 'reserved', readonly holder?: types.UpstreamId | undefined }
  | { readonly type: 'overBudget' }
  /** Retry later: the store does not answer, or the engines are too busy for a new program. */
  | { readonly type: 'later', readonly reason: 'storeAway' | 'upstreamsFull', readonly retryAfterMs: number }
  /** The called process does not own the program. */
  | { readonly type: 'notOwner' }

/** Reports that a turn with reserved tokens has ended at the process that ran it. */
export interface ReleaseCall {
  readonly type: 'release'
  readonly request: turnLedger.TurnRequest
  /** Number of tokens that were delivered. */
  readonly tokens: number
  readonly promptParts: readonly string[]
  /** The upstream that ran the turn, if any did. */
  readonly upstream?: types.UpstreamId | undefined
}

/** Asks for a turn that is continued by a program of another shard. */
export interface FindChainCall {
  readonly type: 'findChain'
  readonly turn: turnLedger.TurnId
  /** The client account that made the request; `undefined` if none was named. */
  readonly account?: types.AccountId | undefined
}

/** Result of the search for a turn in the shards of one process. */
export type FindChainAnswer =
  | { readonly type: 'found', readonly chain: readonly turnLedger.StoredTurn[] }
  /** None of these shards contains the turn, as the store has confirmed. */
  | { readonly type: 'absent', readonly partitions: readonly shardLog.PartitionName[] }

/** Relays a store call of a process that the store does not serve itself. */
export interface RelayCall {
  readonly type: 'store'
  readonly call: shardLog.StoreCall
}

/** Announces that shards have become free, so that the receiver asks for them now. */
export interface JoinNowCall {
  readonly type: 'joinNow'
  /** Address of the unresponsive process that owned them, if that is the reason. */
  readonly silent?: string | undefined
}

/** Checks whether the other process can be reached. */
export interface PingCall {
  readonly type: 'ping'
}

/** All calls between front processes, other than forwarded turns. */
export type PeerCall = SettleCall | SettleUnreservedCall | ReserveCall | ReleaseCall | FindChainCall | JoinNowCall | PingCall | RelayCall | meterCall.MeterCall | crashReports.CrashCall

/** Whether a settled turn was stored. */
export type SettleAnswer =
  | { readonly type: 'kept' }
  /** The called process does not own the program. */
  | { readonly type: 'notOwner' }
  /** No shard has the chain that the turn continues from. */
  | { readonly type: 'unknown' }
  /** The turn, for which no tokens were reserved, exceeds its program's budget. */
  | { readonly type: 'overBudget' }

/** Limit of a call and of its answer, in bytes: a long chain of turns, or a page of the store that is relayed. */
export const maxCallBytes = 16_777_216
const peerCallPath = '/peer-call'
const connectTimeoutMs = 200
const okStatus = 200
/** How long the connection of a call without an answer is kept for a late one, in ms: the idle timeout of connections to peers. */
const lateAnswerMs = 10_000

/** Whether a request is a peer call. */
export function isPeerCall (req: http.IncomingMessage): boolean {
  return req.url === peerCallPath && req.method === 'PUT'
}

/** Decodes a call. Throws if the bytes are not valid MessagePack. */
export function decodeCall (body: Buffer): PeerCall {
  return msgpack.decode(body) as PeerCall
}

/** All answers to peer calls. */
export type PeerAnswer = SettleAnswer | ReserveAnswer | FindChainAnswer | meterCall.MeterCallAnswer | crashReports.CrashCallAnswer | { readonly type: 'heard' } | shardLog.StoreAnswer

/** Encodes an answer. */
export function encodeAnswer (answer: PeerAnswer): Buffer {
  return encodeMessage(answer)
}

/** Dependencies of peer calls. */
export interface PeerCallPorts {
  /** Sends to peers; its connections stay open longer than those to upstreams. */
  readonly peerSender: sendHttp.Sender
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** Outcome of a call. */
export type CallOutcome<Answer> =
  | { readonly type: 'answer', readonly answer: Answer }
  /** No answer. `ended`: the peer's host refused the connection, so the process has ended. */
  | { readonly type: 'none', readonly ended: boolean }

/** Calls a peer; `undefined` if there is no answer within the timeout, in ms. */
export async function callPeer<Answer> (ports: PeerCallPorts, address: string, call: PeerCall, timeoutMs: number): Promise<Answer | undefined> {
  const outcome = await tryCallPeer<Answer>(ports, address, call, timeoutMs)
  return outcome.type === 'answer' ? outcome.answer : undefined
}

/** Calls a peer and, if there is no answer within the timeout, in ms, reports whether its process has ended. */
export async function tryCallPeer<Answer> (ports: PeerCallPorts, address: string, call: PeerCall, timeoutMs: number): Promise<CallOutcome<Answer>> {
  const body = encodeMessage(call)
  const outcome = await sendHttp.sendBuffered(ports.peerSender, ports.timers, {
    address,
    method: 'PUT',
    path: peerCallPath,
    headers: ['Host', address, 'Content-Length', String(body.length)],
    body,
    connectTimeoutMs,
    continueTimeoutMs: undefined,
    atMostOnce: false,
    maxAnswerBytes: maxCallBytes
  }, timeoutMs, lateAnswerMs)
  if (outcome.type === 'failed') return { type: 'none', ended: outcome.failure.cause === 'refused' }
  const answer = outcome.status === okStatus ? decodeAnswer<Answer>(ports, outcome.body) : undefined
  return answer === undefined ? { type: 'none', ended: false } : { type: 'answer', answer }
}

/** An answer that can't be decoded counts as none. */
function decodeAnswer<Answer> (ports: PeerCallPorts, body: Buffer): Answer | undefined {
  try {
    return msgpack.decode(body) as Answer
  } catch (err) {
    ports.decisions.record({ event: 'peerCallFailed', err })
    return undefined
  }
}

function encodeMessage (value: unknown): Buffer {
  const bytes = msgpack.encode(value, { ignoreUndefined: true })
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
