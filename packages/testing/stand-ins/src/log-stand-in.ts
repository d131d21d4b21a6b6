/** Stand-in of the platform's append-only log service. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import * as zod from 'zod'
import * as control from './control.js'
import * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'
import * as lateAppends from './late-appends.js'
import * as logStreams from './log-streams.js'
import * as pausing from './pauses.js'
import * as tokenBucket from './token-bucket.js'

const requestKind = zod.enum(['append', 'read']).optional()

/** Each fault strikes appends and reads, or only those that `on` names. */
const logFault = zod.discriminatedUnion('type', [
  /** 503 with Retry-After; nothing is appended. */
  zod.object({ type: zod.literal('refuse'), on: requestKind, retryAfterMs: zod.number().optional() }),
  /** The connection is reset before anything happens. */
  zod.object({ type: zod.literal('reset'), on: requestKind }),
  /** Held without effect until the faults are cleared, then reset. */
  zod.object({ type: zod.literal('stall'), on: requestKind }),
  /** Served after a delay. */
  zod.object({ type: zod.literal('slow'), on: requestKind, delayMs: zod.number() }),
  /** The record is appended and the connection reset. */
  zod.object({ type: zod.literal('loseAnswer'), on: requestKind }),
  /** The connection is reset and the record lands later: after so many further appends to its stream, or a time. */
  zod.object({ type: zod.literal('delayedAppend'), on: requestKind, afterAppends: zod.int().positive().optional(), delayMs: zod.number().optional() })
])
export type LogFault = zod.infer<typeof logFault>

const logControl = zod.discriminatedUnion('type', [
  ...control.commonControl(logFault),
  zod.object({ type: zod.literal('setRate'), appendsPerSecond: zod.number().positive().nullable() }),
  zod.object({ type: zod.literal('expire'), stream: zod.string(), before: zod.int() })
])
export type LogControl = zod.infer<typeof logControl>

export const logSettings = zod.object({
  port: zod.int(),
  /** Appends a second that it takes, over all streams; null for no limit. */
  appendsPerSecond: zod.number().positive().nullable().optional(),
  retentionMs: zod.number().positive().optional(),
  retentionRecords: zod.int().positive().optional()
})
export type LogSettings = zod.infer<typeof logSettings> & { readonly timers?: timerService.TimerService }

export interface LogCounters {
  readonly appends: number
  readonly reads: number
  /** Requests answered by 429 or 503. */
  readonly refused: number
}

export interface LogStandIn {
  readonly address: string
  readonly faults: faultPlan.Faults<LogFault>
  control: (message: LogControl) => void
  counters: () => LogCounters
  /** The records that a stream still keeps. */
  records: (stream: string) => readonly logStreams.StoredRecord[]
  close: () => Promise<void>
}

const defaultRetryAfterMs = 1000
const defaultPageRecords = 1000
const maxRecordBytes = 4 * 1024 * 1024

export async function createLogStandIn (settings: LogSettings): Promise<LogStandIn> {
  const timers = settings.timers ?? timerService.createRealTimers()
  const pauses = pausing.createPauses(timers)
  const faults = faultPlan.createFaults<LogFault>()
  const streams = logStreams.createLogStreams(timers.now, { ms: settings.retentionMs, records: settings.retentionRecords })
  const late = lateAppends.createLateAppends(timers, store)
  let bucket = bucketOf(settings.appendsPerSecond)
  let appends = 0
  let reads = 0
  let refused = 0

  function bucketOf (perSecond: number | null | undefined): tokenBucket.TokenBucket | null {
    return perSecond === null || perSecond === undefined ? null : tokenBucket.createTokenBucket(timers, perSecond)
  }

  function store (stream: string, data: string): logStreams.StoredRecord {
    const record = streams.append(stream, data)
    appends += 1
    late.appended(stream)
    return record
  }

  function refuse (exchange: httpHost.Exchange, status: 429 | 503, retryAfterMs: number): void {
    refused += 1
    httpHost.sendRefusal(exchange.res, status, retryAfterMs)
  }

  function serveAppend (exchange: httpHost.Exchange, stream: string): void {
    if (Buffer.byteLength(exchange.body) > maxRecordBytes) throw new httpHost.HttpError(413, 'record too large')
    const waitMs = bucket?.take() ?? 0
    if (waitMs > 0) return refuse(exchange, 429, waitMs)
    const { offset, at } = store(stream, exchange.body)
    httpHost.sendJson(exchange.res, 201, { offset, at })
  }

  function serveRead (exchange: httpHost.Exchange, stream: string): void {
    const from = Number(exchange.query.get('from') ?? 0)
    const limit = Number(exchange.query.get('limit') ?? defaultPageRecords)
    if (!Number.isInteger(from) || !Number.isInteger(limit) || from < 0 || limit < 1) throw new httpHost.HttpError(400, 'from or limit is wrong')
    reads += 1
    httpHost.sendJson(exchange.res, 200, streams.read(stream, from, Math.min(limit, defaultPageRecords)))
  }

  function serve (exchange: httpHost.Exchange, stream: string): void {
    if (exchange.method === 'POST') serveAppend(exchange, stream)
    else serveRead(exchange, stream)
  }

  async function serveFaulty (exchange: httpHost.Exchange, stream: string, fault: LogFault): Promise<void> {
    const isAppend = exchange.method === 'POST'
    switch (fault.type) {
      case 'refuse':
        return refuse(exchange, 503, fault.retryAfterMs ?? defaultRetryAfterMs)
      case 'reset':
        return httpHost.resetConnection(exchange.res)
      case 'stall':
        await faults.cleared()
        return httpHost.resetConnection(exchange.res)
      case 'slow':
        await pauses.pause(fault.delayMs)
        return serve(exchange, stream)
      case 'loseAnswer':
        if (isAppend) store(stream, exchange.body)
        return httpHost.resetConnection(exchange.res)
      case 'delayedAppend':
        if (isAppend) late.add(stream, exchange.body, fault)
        return httpHost.resetConnection(exchange.res)
      default:
        errors.assertNever(fault)
    }
  }

  function takeFault (exchange: httpHost.Exchange, stream: string): LogFault | undefined {
    return faults.take(stream, (fault) => fault.on === undefined || fault.on === (exchange.method === 'POST' ? 'append' : 'read'))
  }

  async function handle (exchange: httpHost.Exchange): Promise<void> {
    if (control.serveControl(exchange, applyText, counters)) return
    const [version, collection, stream, records] = exchange.path
    if (version !== 'v1' || collection !== 'streams' || stream === undefined || records !== 'records') throw new httpHost.HttpError(404, 'no such path')
    const fault = takeFault(exchange, stream)
    if (fault === undefined) return serve(exchange, stream)
    await serveFaulty(exchange, stream, fault)
  }

  function applyText (body: string): void {
    apply(control.parseControl(logControl, body))
  }

  function apply (message: LogControl): void {
    switch (message.type) {
      case 'fault':
        return faults.set(message.fault, message)
      case 'clearFaults':
        return faults.clear()
      case 'setRate':
        bucket = bucketOf(message.appendsPerSecond)
        return
      case 'expire':
        return streams.expire(message.stream, message.before)
      default:
        errors.assertNever(message)
    }
  }

  function counters (): LogCounters {
    return { appends, reads, refused }
  }

  const host = await httpHost.createHttpHost(settings.port, handle)

  async function close (): Promise<void> {
    late.close()
    pauses.close()
    await host.close()
    faults.clear()
  }

  return {
    address: host.address,
    faults,
    control: apply,
    counters,
    records: (stream) => streams.read(stream, 0, Infinity).records,
    close
  }
}
