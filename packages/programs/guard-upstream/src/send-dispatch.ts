/** Sends one dispatch whose turn has come to its upstream, within its time limit. */
import type * as engineClient from '@eelgrasswind/engine-client'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as doors from './door.js'

type Result = errors.Result<types.DispatchAnswer>
type Untimed = errors.Result<Omit<types.DispatchAnswer, 'ranMs'>>
type Payload<Type extends types.DispatchPayload['type']> = Extract<types.DispatchPayload, { type: Type }>

const noTokens: types.TokenCount = { prompt: 0, cached: 0, generated: 0 }

/** What is sent as the request id, and must come back. */
function requestIdOf (req: types.Dispatch): string {
  return `${req.program}/${req.key}`
}

function wrongType (req: types.Dispatch): errors.Failure {
  return { tag: 'unknownTarget', verdict: 'notRun', message: `${req.upstream} does not take a ${req.payload.type} call`, field: 'upstream' }
}

async function toEngine (door: doors.Door, req: types.Dispatch, payload: Payload<'model'>, options: engineClient.CallOptions, now: () => number): Promise<Untimed> {
  if (door.target.type !== 'engine') return errors.fail(wrongType(req))
  const answer = await door.target.client.complete({
    requestId: requestIdOf(req),
    model: payload.model,
    messages: payload.messages,
    maxTokens: payload.maxTokens,
    options: payload.options,
    priority: Math.max(0, Math.round(req.queue.deadline - now())),
    session: req.program
  }, options)
  if (!answer.ok) return answer
  const { message, finishReason, tokens } = answer.value
  return errors.ok({ outcome: { type: 'message', message, finishReason }, tokens, load: doors.loadOf(door, now()) })
}

async function toService (door: doors.Door, req: types.Dispatch, payload: Payload<'service'>, options: engineClient.CallOptions): Promise<Untimed> {
  if (door.target.type !== 'service') return errors.fail(wrongType(req))
  const answer = await door.target.client.call({ requestId: requestIdOf(req), path: payload.path, body: payload.body }, options)
  if (!answer.ok) return answer
  const { status, body } = answer.value
  return errors.ok({ outcome: { type: 'service', status, body }, tokens: noTokens, load: null })
}

async function send (door: doors.Door, req: types.Dispatch, options: engineClient.CallOptions, now: () => number): Promise<Untimed> {
  const payload = req.payload
  switch (payload.type) {
    case 'model': return await toEngine(door, req, payload, options, now)
    case 'service': return await toService(door, req, payload, options)
    default: return errors.assertNever(payload)
  }
}

/** The signal ends the request; so does its time limit, which is then what the failure says. */
export async function sendDispatch (door: doors.Door, req: types.Dispatch, options: engineClient.CallOptions, timers: timerService.TimerService): Promise<Result> {
  const stop = new AbortController()
  const abort = (): void => stop.abort()
  let timedOut = false
  const startedAt = timers.monotonic()
  const limit = timers.after(req.timeoutMs, () => { timedOut = true; abort() })
  options.signal.addEventListener('abort', abort, { once: true })
  if (options.signal.aborted) abort()
  try {
    const result = await send(door, req, { ...options, signal: stop.signal }, timers.now)
    if (result.ok) return errors.ok({ ...result.value, ranMs: timers.monotonic() - startedAt })
    if (!timedOut) return result
    return errors.fail({ tag: 'timeout', verdict: 'mayHaveRun', message: 'no whole answer in time', afterMs: req.timeoutMs })
  } catch (err) {
    return errors.fail(errors.toFailure(err))
  } finally {
    limit.cancel()
    options.signal.removeEventListener('abort', abort)
  }
}
