/** What an entry does with the requests of callers: fills in what the configuration says, and forwards. */
import type * as callerServer from '@eelgrasswind/caller-server'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as tracing from '@eelgrasswind/tracing'
import type * as types from '@eelgrasswind/types'
import type * as clientLimits from './client-limits.js'
import * as clientTokens from './client-tokens.js'
import type * as forwarding from './forward.js'

export interface CallerHandlerDeps {
  readonly forwarder: forwarding.Forwarder
  readonly timers: timerService.TimerService
  readonly config: () => configState.Config | undefined
  readonly homePatienceMs: number
  readonly tracer: tracing.Tracing
  readonly limits: Pick<clientLimits.ClientLimits, 'take'>
  readonly noteRequest: (name: string, startedAt: number, failure: errors.Failure | undefined) => void
}

/** Used for bodies before the first configuration has come, in bytes. */
const defaultMaxBodyBytes = 1_048_576

interface CallDefaults {
  readonly idempotent: boolean
  readonly timeoutMs: number
}

function unknownTarget (field: string, id: string): errors.Result<CallDefaults> {
  return errors.fail({ tag: 'unknownTarget', verdict: 'notRun', message: `${field} ${id} is not in the configuration`, field })
}

function defaultsOf (config: configState.Config, target: types.CallTarget): errors.Result<CallDefaults> {
  switch (target.type) {
    case 'model':
      if (!config.models.has(target.model)) return unknownTarget('model', target.model)
      return errors.ok({ idempotent: true, timeoutMs: config.limits.callTimeoutMs })
    case 'service': {
      const service = config.services.get(target.service)
      return service === undefined ? unknownTarget('service', target.service) : errors.ok(service)
    }
    default: return errors.assertNever(target)
  }
}

export function createCallerHandlers (deps: CallerHandlerDeps): callerServer.CallerHandlers {
  const tokens = new clientTokens.ClientTokens()

  async function traced<T> (name: string, program: types.ProgramId, ctx: types.RequestContext, run: (ctx: types.RequestContext) => Promise<errors.Result<T>>): Promise<errors.Result<T>> {
    const startedAt = deps.timers.monotonic()
    const span = deps.tracer.startSpan(`entry ${name}`, ctx.traceparent, { program })
    const result = await run({ traceparent: span.traceparent })
    span.end(result.ok ? 'ok' : 'error')
    deps.noteRequest(name, startedAt, result.ok ? undefined : result.failure)
    return result
  }

  function patience (): number {
    return deps.timers.monotonic() + deps.homePatienceMs
  }

  async function call (req: callerServer.CallRequest, ctx: types.RequestContext, sink: types.CallSink): Promise<errors.Result<types.CallEnd>> {
    const config = deps.config()
    if (config === undefined) return tokens.clientOf(undefined, undefined) as errors.Result<never>
    const defaults = defaultsOf(config, req.target)
    if (!defaults.ok) return defaults
    const taken = await deps.limits.take(req.client, 'calls')
    if (!taken.ok) return taken
    const full: types.Call = {
      ...req,
      idempotent: req.idempotent ?? defaults.value.idempotent,
      timeoutMs: req.timeoutMs ?? defaults.value.timeoutMs
    }
    const deadline = deps.timers.monotonic() + Math.max(full.timeoutMs, deps.homePatienceMs)
    return await traced('call', req.program, ctx, (inner) => deps.forwarder.forward(req.program, deadline, (peer) => peer.call(full, inner, sink)))
  }

  async function read (program: types.ProgramId, client: types.ClientId, history: boolean): Promise<errors.Result<types.ProgramDocument>> {
    const result = await deps.forwarder.forward(program, patience(), (peer) => peer.read(program, history))
    return result.ok ? ownedBy(result.value, client) : result
  }

  async function finish (program: types.ProgramId, client: types.ClientId, result: types.FinishResult, ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    const known = await read(program, client, false)
    if (!known.ok) return known
    return await traced('finish', program, ctx, (inner) => deps.forwarder.forward(program, patience(), (peer) => peer.finish(program, result, inner)))
  }

  async function start (req: types.StartRequest, ctx: types.RequestContext): Promise<errors.Result<types.ProgramDocument>> {
    const taken = await deps.limits.take(req.client, 'starts')
    if (!taken.ok) return taken
    return await traced('start', req.program, ctx, (inner) => deps.forwarder.forward(req.program, patience(), (peer) => peer.start(req, inner)))
  }

  return {
    authorize: (token) => tokens.clientOf(deps.config(), token),
    start,
    call,
    finish,
    read,
    getMaxBodyBytes: () => deps.config()?.limits.maxBodyBytes ?? defaultMaxBodyBytes
  }
}

/** A program of another client is as good as unknown. */
function ownedBy (document: types.ProgramDocument, client: types.ClientId): errors.Result<types.ProgramDocument> {
  if (document.summary.client === client) return errors.ok(document)
  return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `client ${client} has no program ${document.summary.program}` })
}
