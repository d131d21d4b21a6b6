/** Sends one dispatch to its upstream, with a timeout. */
import type * as engineClient from '@eelgrasswind/engine-client'
import * as errors from '@eelgrasswind/errors'
import * as sendHttp from '@eelgrasswind/send-http'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as upstreamStates from './upstream-state.js'

type DispatchResult = errors.Result<types.DispatchAnswer>
type UntimedResult = errors.Result<Omit<types.DispatchAnswer, 'ranMs'>>
type PayloadOfType<Type extends types.DispatchPayload['type']> = Extract<types.DispatchPayload, { type: Type }>

const zeroTokens: types.TokenCount = { prompt: 0, cached: 0, generated: 0 }

/** Formats the request id, which the answer must carry too. */
function formatRequestId (req: types.Dispatch): string {
  return `${req.program}/${req.key}`
}

function createTypeFailure (req: types.Dispatch): errors.Failure {
  return { tag: 'unknownTarget', verdict: 'notRun', message: `${req.upstream} does not accept a ${req.payload.type} call`, field: 'upstream' }
}

async function sendToEngine (upstream: upstreamStates.UpstreamState, req: types.Dispatch, payload: PayloadOfType<'model'>, options: engineClient.CallOptions, now: () => number): Promise<UntimedResult> {
  if (upstream.target.type !== 'engine') return errors.fail(createTypeFailure(req))
  const answer = await upstream.target.client.complete({
    requestId: formatRequestId(req),
    model: payload.model,
    messages: payload.messages,
    maxTokens: payload.maxTokens,
    options: payload.options,
    priority: Math.max(0, Math.round(req.queue.deadline - now())),
    session: req.program
  }, options)
  if (!answer.ok) return answer
  const { message, finishReason, tokens } = answer.value
  return errors.ok({ outcome: { type: 'message', message, finishReason }, tokens, load: upstreamStates.toUpstreamLoad(upstream, now()) })
}

async function sendToService (upstream: upstreamStates.UpstreamState, req: types.Dispatch, payload: PayloadOfType<'service'>, options: engineClient.CallOptions): Promise<UntimedResult> {
  if (upstream.target.type !== 'service') return errors.fail(createTypeFailure(req))
  const answer = await upstream.target.client.call({ requestId: formatRequestId(req), path: payload.path, body: payload.body }, options)
  if (!answer.ok) return answer
  const { status, body } = answer.value
  return errors.ok({ outcome: { type: 'service', status, body }, tokens: zeroTokens, load: null })
}

async function sendToUpstream (upstream: upstreamStates.UpstreamState, req: types.Dispatch, options: engineClient.CallOptions, now: () => number): Promise<UntimedResult> {
  const payload = req.payload
  switch (payload.type) {
    case 'model': return await sendToEngine(upstream, req, payload, options, now)
    case 'service': return await sendToService(upstream, req, payload, options)
    default: return errors.assertNever(payload)
  }
}

/** Tells whether the upstream ended if its answer broke off. */
async function describeBreak (upstream: upstreamStates.UpstreamState, failure: errors.Failure, timers: timerService.TimerService): Promise<errors.Failure> {
  if (failure.tag !== 'answerBroken') return failure
  const evidence = await sendHttp.examineBreak(timers, new URL(upstream.target.address).host)
  return sendHttp.hasEnded(evidence) ? { ...failure, detail: errors.upstreamEndedDetail } : failure
}

/** Sends a dispatch. The signal and the timeout abort the request; after the timeout the failure is `timeout`. */
export async function sendDispatch (upstream: upstreamStates.UpstreamState, req: types.Dispatch, options: engineClient.CallOptions, timers: timerService.TimerService): Promise<DispatchResult> {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  let hasTimedOut = false
  const startedAt = timers.monotonic()
  const timeout = timers.after(req.timeoutMs, () => { hasTimedOut = true; abort() })
  options.signal.addEventListener('abort', abort, { once: true })
  if (options.signal.aborted) abort()
  try {
    const result = await sendToUpstream(upstream, req, { ...options, signal: controller.signal }, timers.now)
    if (result.ok) return errors.ok({ ...result.value, ranMs: timers.monotonic() - startedAt })
    if (!hasTimedOut) return errors.fail(await describeBreak(upstream, result.failure, timers))
    return errors.fail({ tag: 'timeout', verdict: 'mayHaveRun', message: 'no complete answer before the timeout', afterMs: req.timeoutMs })
  } catch (err) {
    return errors.fail(errors.toFailure(err))
  } finally {
    timeout.cancel()
    options.signal.removeEventListener('abort', abort)
  }
}
