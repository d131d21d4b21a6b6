/** Handlers of callers' requests: add the defaults of the configuration, and forward to the home of the program. */
import type * as callerServer from '@eelgrasswind/caller-server'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import type * as clientLimits from './client-limits.js'
import * as clientTokens from './client-tokens.js'
import type * as forwarding from './forward.js'

/** Dependencies of the handlers. */
export interface CallerHandlerDeps {
  readonly forwarder: forwarding.Forwarder
  readonly timers: timerService.TimerService
  readonly getConfig: () => configState.Config | undefined
  /** Timeout for reaching the home of a program, in milliseconds; of a call at least this. */
  readonly homeTimeoutMs: number
  readonly tracer: tracing.Tracing
  readonly limits: Pick<clientLimits.ClientLimits, 'take'>
  readonly onRequestEnded: (name: string, startedAt: number, failure: errors.Failure | undefined) => void
}

/** Limit of request bodies until the first configuration is loaded, in bytes. */
const defaultMaxBodyBytes = 1_048_576

interface CallDefaults {
  readonly idempotent: boolean
  readonly timeoutMs: number
}

function failUnknownTarget (field: string, id: string): errors.Result<CallDefaults> {
  return errors.fail({ tag: 'unknownTarget', verdict: 'notRun', message: `${field} ${id} is not in the configuration`, field })
}

function findDefaults (config: configState.Config, target: types.CallTarget): errors.Result<CallDefaults> {
  switch (target.type) {
    case 'model':
      if (!config.models.has(target.model)) return failUnknownTarget('model', target.model)
      return errors.ok({ idempotent: true, timeoutMs: config.limits.callTimeoutMs })
    case 'service': {
      const service = config.services.get(target.service)
      return service === undefined ? failUnknownTarget('service', target.service) : errors.ok(service)
    }
    default: return errors.assertNever(target)
  }
}

/** Creates the handlers of callers' requests. */
export function createCallerHandlers (deps: CallerHandlerDeps): callerServer.CallerHandlers {
  const tokens = new clientTokens.ClientTokens()

  async function runInSpan<T> (name: string, program: types.ProgramId, ctx: types.RequestContext, run: (ctx: types.RequestContext) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    const startedAt = deps.timers.monotonic()
    const span = deps.tracer.startSpan(`entry ${name}`, ctx.traceparent, { program })
    const result = await run({ traceparent: span.traceparent })
    span.end(result.ok ? 'ok' : 'error')
    deps.onRequestEnded(name, startedAt, result.ok ? undefined : result.failure)
    return result
  }

  function computeDeadline (): number {
    return deps.timers.monotonic() + deps.homeTimeoutMs
  }

  async function call (req: callerServer.CallRequest, ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> {
    const config = deps.getConfig()
    if (config === undefined) return tokens.findClient(undefined, undefined) as errors.Result<never>
    const defaults = findDefaults(config, req.target)
    if (!defaults.ok) return defaults
    const admitted = await deps.limits.take(req.client, 'calls')
    if (!admitted.ok) return admitted
    const completeCall: types.Call = {
      ...req,
      idempotent: req.idempotent ?? defaults.value.idempotent,
      timeoutMs: req.timeoutMs ?? defaults.value.timeoutMs
    }
    const deadline = deps.timers.monotonic() + Math.max(completeCall.timeoutMs, deps.homeTimeoutMs)
    return await runInSpan('call', req.program, ctx, (spanContext) => deps.forwarder.forward(req.program, deadline, (peer) => peer.call(completeCall, spanContext, sink)))
  }

  async function read (program: types.ProgramId, client: types.ClientId, history: boolean): Promise<errors.Result<types.ProgramDocument>> {
    const result = await deps.forwarder.forward(program, computeDeadline(), (peer) => peer.read(program, history))
    return result.ok ? checkOwner(result.value, client) : result
  }

  async function finish (program: types.ProgramId, client: types.ClientId, result: types.FinishResult, ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    const current = await read(program, client, false)
    if (!current.ok) return current
    return await runInSpan('finish', program, ctx, (spanContext) => deps.forwarder.forward(program, computeDeadline(), (peer) => peer.finish(program, result, spanContext)))
  }

  async function start (req: types.StartRequest, ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    const admitted = await deps.limits.take(req.client, 'starts')
    if (!admitted.ok) return admitted
    return await runInSpan('start', req.program, ctx, (spanContext) => deps.forwarder.forward(req.program, computeDeadline(), (peer) => peer.start(req, spanContext)))
  }

  return {
    authorize: (token) => tokens.findClient(deps.getConfig(), token),
    start,
    call,
    finish,
    read,
    getMaxBodyBytes: () => deps.getConfig()?.limits.maxBodyBytes ?? defaultMaxBodyBytes
  }
}

/** Reports a program of another client as unknown. */
function checkOwner (document: types.ProgramDocument, client: types.ClientId): errors.Result<types.ProgramDocument> {
  if (document.summary.client === client) return errors.ok(document)
  return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `client ${client} has no program ${document.summary.program}` })
}
