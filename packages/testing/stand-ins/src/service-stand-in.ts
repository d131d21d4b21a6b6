/** Stand-in of a plain service, such as kit orders or school bookings. */
import type * as http from 'node:http'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import * as zod from 'zod'
import * as control from './control.js'
import * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'
import * as pausing from './pauses.js'

const serviceFault = zod.discriminatedUnion('type', [
  /** 503 with Retry-After; does not run. */
  zod.object({ type: zod.literal('refuse'), retryAfterMs: zod.number().optional() }),
  /** The connection is reset; does not run. */
  zod.object({ type: zod.literal('reset') }),
  /** Runs; the connection is reset in place of an answer. */
  zod.object({ type: zod.literal('loseAnswer') }),
  /** Runs; the service ends in place of an answer, and starts again after that time. */
  zod.object({ type: zod.literal('crash'), restartAfterMs: zod.number() }),
  /** No answer until the faults are cleared; runs at once, or not at all. */
  zod.object({ type: zod.literal('hang'), run: zod.boolean() }),
  /** Runs and answers after a delay, even when the asker has gone. */
  zod.object({ type: zod.literal('delay'), delayMs: zod.number() }),
  /** 500, having run or not. */
  zod.object({ type: zod.literal('error'), run: zod.boolean(), status: zod.int().optional() }),
  /** Runs; the answer is cut: in the middle of an announced length, or as told. */
  zod.object({ type: zod.literal('truncate'), unframed: httpHost.unframedEnd.optional() }),
  /** Runs; the answer is whole and has neither a length nor chunks. */
  zod.object({ type: zod.literal('unframed') }),
  /** Runs; the answer carries another request's id. */
  zod.object({ type: zod.literal('wrongId') }),
  /** Runs; the answer and its id are those of the request before. */
  zod.object({ type: zod.literal('crossed') }),
  /** Runs; the answer comes twice on the connection. */
  zod.object({ type: zod.literal('duplicate') }),
  /** Runs; the answer is not JSON. */
  zod.object({ type: zod.literal('invalidJson') }),
  /** Runs; the answer is that long. */
  zod.object({ type: zod.literal('oversize'), bytes: zod.int().positive() })
])
export type ServiceFault = zod.infer<typeof serviceFault>

const serviceControl = zod.discriminatedUnion('type', [
  ...control.commonControl(serviceFault)
])
export type ServiceControl = zod.infer<typeof serviceControl>

export const serviceSettings = zod.object({
  port: zod.int(),
  /** Milliseconds that a call takes. */
  delayMs: zod.number().nonnegative().optional()
})
export type ServiceSettings = zod.infer<typeof serviceSettings> & { readonly timers?: timerService.TimerService }

/** What the service answers with. */
export interface ServiceReply {
  readonly path: string
  /** Which execution of the service this is, from 1. */
  readonly run: number
  readonly echo: unknown
}

export interface ServiceCounters {
  /** Executions by request id. */
  readonly executions: Readonly<Record<string, number>>
  /** Requests that came in, run or not, by request id. */
  readonly requests: Readonly<Record<string, number>>
}

export interface ServiceStandIn {
  readonly address: string
  /** The scope of a fault is the path, without the leading slash. */
  readonly faults: faultPlan.Faults<ServiceFault>
  control: (message: ServiceControl) => void
  counters: () => ServiceCounters
  /** How often the request of that id ran. */
  executions: (requestId: string) => number
  close: () => Promise<void>
}

interface Answer {
  readonly requestId: string
  readonly text: string
}

const defaultRetryAfterMs = 1000
const unknownAnswer: Answer = { requestId: 'another-request', text: '{}' }

export async function createServiceStandIn (settings: ServiceSettings): Promise<ServiceStandIn> {
  const pauses = pausing.createPauses(settings.timers ?? timerService.createRealTimers())
  const faults = faultPlan.createFaults<ServiceFault>()
  const executions = new Map<string, number>()
  const requests = new Map<string, number>()
  let previous = unknownAnswer
  let runs = 0

  function count (counts: Map<string, number>, requestId: string): void {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  }

  function run (exchange: httpHost.Exchange, requestId: string): Answer {
    runs += 1
    count(executions, requestId)
    const reply: ServiceReply = { path: exchange.path.join('/'), run: runs, echo: control.parseJson(exchange.body === '' ? 'null' : exchange.body) }
    const answer = { requestId, text: JSON.stringify(reply) }
    previous = answer
    return answer
  }

  function send (res: http.ServerResponse, answer: Answer, status = 200): void {
    if (res.destroyed) return
    res.writeHead(status, headersOf(answer))
    res.end(answer.text)
  }

  function cut (res: http.ServerResponse, answer: Answer, unframed: httpHost.UnframedEnd | undefined): void {
    const headers = { 'x-request-id': answer.requestId }
    if (unframed === undefined) httpHost.sendTruncated(res, answer.text, headers)
    else httpHost.sendUnframed(res, answer.text, unframed, headers)
  }

  function headersOf (answer: Answer): http.OutgoingHttpHeaders {
    return { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer.text), 'x-request-id': answer.requestId }
  }

  async function serve (exchange: httpHost.Exchange, requestId: string, delayMs: number): Promise<void> {
    const answer = run(exchange, requestId)
    if (delayMs > 0) await pauses.pause(delayMs)
    send(exchange.res, answer)
  }

  async function serveFaulty (exchange: httpHost.Exchange, requestId: string, fault: ServiceFault): Promise<void> {
    const { res } = exchange
    const before = previous
    switch (fault.type) {
      case 'refuse':
        return httpHost.sendRefusal(res, 503, fault.retryAfterMs ?? defaultRetryAfterMs, { 'x-request-id': requestId })
      case 'reset':
        return httpHost.resetConnection(res)
      case 'loseAnswer':
        run(exchange, requestId)
        return httpHost.resetConnection(res)
      case 'crash':
        run(exchange, requestId)
        return host.crash(fault.restartAfterMs)
      case 'hang':
        return await hang(exchange, requestId, fault.run)
      case 'delay':
        return await serve(exchange, requestId, fault.delayMs)
      case 'error':
        if (fault.run) run(exchange, requestId)
        return httpHost.sendJson(res, fault.status ?? 500, { error: { message: 'failed' } }, { 'x-request-id': requestId })
      case 'truncate':
        return cut(res, run(exchange, requestId), fault.unframed)
      case 'unframed':
        return httpHost.sendUnframed(res, run(exchange, requestId).text, { reset: false }, { 'x-request-id': requestId })
      case 'wrongId':
        return send(res, { ...run(exchange, requestId), requestId: unknownAnswer.requestId })
      case 'crossed':
        run(exchange, requestId)
        return send(res, before)
      case 'duplicate':
        return httpHost.sendTwice(res, run(exchange, requestId).text, { 'x-request-id': requestId })
      case 'invalidJson':
        return send(res, { ...run(exchange, requestId), text: '{"path":' })
      case 'oversize':
        return send(res, { ...run(exchange, requestId), text: JSON.stringify('x'.repeat(fault.bytes)) })
      default:
        errors.assertNever(fault)
    }
  }

  async function hang (exchange: httpHost.Exchange, requestId: string, runs: boolean): Promise<void> {
    const answer = runs ? run(exchange, requestId) : undefined
    await faults.cleared()
    if (answer === undefined) httpHost.resetConnection(exchange.res)
    else send(exchange.res, answer)
  }

  async function handle (exchange: httpHost.Exchange): Promise<void> {
    if (control.serveControl(exchange, applyText, counters)) return
    const requestId = exchange.req.headers['x-request-id']
    if (exchange.method !== 'POST' || typeof requestId !== 'string') throw new httpHost.HttpError(400, 'POST with x-request-id')
    count(requests, requestId)
    const fault = faults.take(exchange.path.join('/'))
    if (fault === undefined) return await serve(exchange, requestId, settings.delayMs ?? 0)
    await serveFaulty(exchange, requestId, fault)
  }

  function applyText (body: string): void {
    apply(control.parseControl(serviceControl, body))
  }

  function apply (message: ServiceControl): void {
    control.applyFault(faults, message)
  }

  function counters (): ServiceCounters {
    return { executions: Object.fromEntries(executions), requests: Object.fromEntries(requests) }
  }

  const host = await httpHost.createHttpHost(settings.port, handle)

  async function close (): Promise<void> {
    pauses.close()
    await host.close()
    faults.clear()
  }

  return { address: host.address, faults, control: apply, counters, executions: (requestId) => executions.get(requestId) ?? 0, close }
}
