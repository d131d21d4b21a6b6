/** Converts between protobuf messages and the types of the types package. */
import * as protobuf from '@bufbuild/protobuf'
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as gen from './gen/eelgrasswind_pb.js'

const encoder = new TextEncoder()
const decoder = new TextDecoder()

/** Encodes a value as JSON in UTF-8. */
export function toJson (value: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(value))
}

/** Decodes JSON without validation, since all peers run the same release. Throws a SyntaxError for invalid JSON. */
export function fromJson<T> (bytes: Uint8Array): T {
  return JSON.parse(decoder.decode(bytes)) as T
}

/** Encodes the whole failure as JSON; tag and verdict are also fields of their own. */
export function toFailureMessage (failure: errors.Failure): gen.FailureMessage {
  return protobuf.create(gen.FailureMessageSchema, { tag: failure.tag, verdict: failure.verdict, json: toJson(failure) })
}

export function fromFailureMessage (message: gen.FailureMessage): errors.Failure {
  return fromJson<errors.Failure>(message.json)
}

export function toSender (sender: types.Sender): gen.Sender {
  return protobuf.create(gen.SenderSchema, {
    host: sender.host,
    incarnation: sender.incarnation,
    leaving: sender.leaving,
    configVersion: BigInt(sender.configVersion)
  })
}

export function fromSender (message: gen.Sender): types.Sender {
  return {
    host: message.host as types.HostId,
    incarnation: message.incarnation as types.Incarnation,
    leaving: message.leaving,
    configVersion: Number(message.configVersion) as types.ConfigVersion
  }
}

/** An idempotent dispatch has no intent; the wire form then has empty intent fields and idempotent set. */
export function toDispatchRequest (dispatch: types.Dispatch, traceparent: string): gen.DispatchRequest {
  return protobuf.create(gen.DispatchRequestSchema, {
    program: dispatch.program,
    key: dispatch.key,
    term: BigInt(dispatch.term),
    upstream: dispatch.upstream,
    idempotent: dispatch.intent === null,
    incarnation: dispatch.intent?.incarnation ?? '',
    intent: BigInt(dispatch.intent?.position ?? 0),
    intentAtMs: dispatch.intent?.at ?? 0,
    timeoutMs: dispatch.timeoutMs,
    deadlineMs: dispatch.queue.deadline,
    weight: dispatch.queue.weight,
    attainedTokens: dispatch.queue.attainedTokens,
    expectedRemainingMs: dispatch.queue.expectedRemainingMs,
    kind: dispatch.queue.kind,
    payloadJson: toJson(dispatch.payload),
    traceparent
  })
}

export function fromDispatchRequest (req: gen.DispatchRequest): types.Dispatch {
  return {
    program: req.program as types.ProgramId,
    key: req.key as types.RequestKey,
    term: Number(req.term) as types.Term,
    upstream: req.upstream as types.UpstreamId,
    intent: req.idempotent ? null : toDispatchIntent(req),
    timeoutMs: req.timeoutMs,
    queue: {
      deadline: req.deadlineMs as types.EpochMs,
      weight: req.weight,
      attainedTokens: req.attainedTokens,
      expectedRemainingMs: req.expectedRemainingMs,
      kind: req.kind as types.KindId
    },
    payload: fromJson<types.DispatchPayload>(req.payloadJson)
  }
}

function toDispatchIntent (req: gen.DispatchRequest): types.DispatchIntent {
  return {
    position: Number(req.intent) as types.Term,
    at: req.intentAtMs as types.EpochMs,
    incarnation: req.incarnation as types.Incarnation
  }
}

/** Converts a reply that holds either a JSON document or a failure; one with neither becomes answerBroken. */
export function fromReply<T> (result: { case: string | undefined, value?: unknown }): errors.Result<T> {
  if (result.case === 'failure') return errors.fail(fromFailureMessage(result.value as gen.FailureMessage))
  if (result.case === undefined) return errors.fail(createBrokenReplyFailure())
  return errors.ok(fromJson<T>(result.value as Uint8Array))
}

/** Failure for a reply without a result; whether the request ran is unknown. */
export function createBrokenReplyFailure (): errors.Failure {
  return { tag: 'answerBroken', verdict: 'mayHaveRun', message: 'peer sent an incomplete reply', detail: 'reply has no result' }
}
