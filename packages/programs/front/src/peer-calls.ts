/** Short calls between front processes: MessagePack over HTTP, on the connections that also carry passed-on turns. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as msgpack from '@msgpack/msgpack'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as shardLog from '@eelgrasswind/shard-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import type * as meterChannel from './meter-channel.js'

/** A turn that ended at a former owner, to be kept by the present one. */
export interface SettleCall {
  readonly type: 'settle'
  readonly request: turnLedger.TurnRequest
  readonly end: Extract<turnLedger.TurnEnd, { type: 'whole' }>
}

/** Asks the owner of a program to reserve the tokens of a turn that the asking process runs. */
export interface ReserveCall {
  readonly type: 'reserve'
  readonly request: turnLedger.TurnRequest
  readonly service: types.ServiceId
  /** Tokens of the whole prompt; 0 where the client does not say. */
  readonly promptTokens: number
  /** Parts of the prompt in order. */
  readonly promptParts: readonly string[]
}

/** What the owner says to that. */
export type ReserveAnswer =
  /** The tokens may be handed out. Holder: the upstream that has the prompt's beginning, where the owner knows it. */
  | { readonly type: 'reserved', readonly holder?: types.UpstreamId | undefined }
  | { readonly type: 'overBudget' }
  /** Not now: the store does not answer, or the engines have too much to do for a new program. */
  | { readonly type: 'later', readonly reason: 'storeAway' | 'upstreamsFull', readonly retryAfterMs: number }
  /** The asked process does not own the program. */
  | { readonly type: 'notOwner' }

/** A turn with reserved tokens has ended at the process that ran it. */
export interface ReleaseCall {
  readonly type: 'release'
  readonly request: turnLedger.TurnRequest
  /** Tokens that were handed out. */
  readonly tokens: number
  readonly promptParts: readonly string[]
  /** Where it ran, if it did. */
  readonly upstream?: types.UpstreamId | undefined
}

/** Asks for a turn that a program of another shard continues from. */
export interface FindChainCall {
  readonly type: 'findChain'
  readonly turn: turnLedger.TurnId
  /** The client account that asks; `undefined`: none was named. */
  readonly account?: types.AccountId | undefined
}

/** What one process knows of a turn. */
export type FindChainAnswer =
  | { readonly type: 'found', readonly chain: readonly turnLedger.StoredTurn[] }
  /** None of these shards holds it, as the store has confirmed. */
  | { readonly type: 'absent', readonly partitions: readonly shardLog.PartitionName[] }

/** A call that the store did not take from the asking process. */
export interface RelayCall {
  readonly type: 'store'
  readonly call: shardLog.StoreCall
}

/** Shards have become free. */
export interface JoinNowCall {
  readonly type: 'joinNow'
  /** Address of the silent process that they belonged to, if that is why. */
  readonly silent?: string | undefined
}

/** Whether the other process can be reached. */
export interface PingCall {
  readonly type: 'ping'
}

/** Every call that one front makes to another, besides passing a turn on. */
export type PeerCall = SettleCall | ReserveCall | ReleaseCall | FindChainCall | JoinNowCall | PingCall | RelayCall | meterChannel.MeterCall

/** Whether a settled turn is kept. */
export type SettleAnswer =
  | { readonly type: 'kept' }
  /** The asked process does not own the program. */
  | { readonly type: 'notOwner' }
  /** No tokens are reserved for such a turn: it can't be kept. */
  | { readonly type: 'unknown' }

const path = '/peer-call'
const connectTimeoutMs = 200
const okStatus = 200

/** Whether a request is such a call. */
export function isPeerCall (req: http.IncomingMessage): boolean {
  return req.url === path && req.method === 'PUT'
}

/** Reads a call. Throws where the bytes are no MessagePack. */
export function decodeCall (body: Buffer): PeerCall {
  return msgpack.decode(body) as PeerCall
}

/** What a call is answered with. */
export type PeerAnswer = SettleAnswer | ReserveAnswer | FindChainAnswer | meterChannel.MeterCallAnswer | { readonly type: 'heard' } | shardLog.StoreAnswer

/** Writes an answer. */
export function encodeAnswer (answer: PeerAnswer): Buffer {
  return encode(answer)
}

/** What it takes to call a peer. */
export interface PeerCallPorts {
  readonly sender: sendHttp.Sender
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
}

/** What comes of a call. */
export type CallOutcome<Answer> =
  | { readonly type: 'answer', readonly answer: Answer }
  /** Ended: the peer's host says that no such process runs. */
  | { readonly type: 'none', readonly ended: boolean }

/** Makes the call; `undefined` where no answer came within the time, in ms. */
export async function callPeer<Answer> (ports: PeerCallPorts, address: string, call: PeerCall, timeoutMs: number): Promise<Answer | undefined> {
  const outcome = await tryCallPeer<Answer>(ports, address, call, timeoutMs)
  return outcome.type === 'answer' ? outcome.answer : undefined
}

/** Makes the call and tells why there is no answer within the time, in ms. */
export async function tryCallPeer<Answer> (ports: PeerCallPorts, address: string, call: PeerCall, timeoutMs: number): Promise<CallOutcome<Answer>> {
  const body = encode(call)
  const outcome = await sendHttp.sendWhole(ports.sender, ports.timers, {
    address,
    method: 'PUT',
    path,
    headers: ['Host', address, 'Content-Length', String(body.length)],
    body,
    connectTimeoutMs,
    confirmMs: undefined,
    atMostOnce: false
  }, timeoutMs)
  if (outcome.type === 'failed') return { type: 'none', ended: outcome.failure.cause === 'refused' }
  const answer = outcome.status === okStatus ? decodeAnswer<Answer>(ports, outcome.body) : undefined
  return answer === undefined ? { type: 'none', ended: false } : { type: 'answer', answer }
}

/** What can't be read is no answer. */
function decodeAnswer<Answer> (ports: PeerCallPorts, body: Buffer): Answer | undefined {
  try {
    return msgpack.decode(body) as Answer
  } catch (err) {
    ports.decisions.note({ event: 'peerCallFailed', err })
    return undefined
  }
}

function encode (value: unknown): Buffer {
  const bytes = msgpack.encode(value, { ignoreUndefined: true })
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
