/** Stand-in of the platform's rate-limited weight store. */
import * as crypto from 'node:crypto'
import * as timerService from '@eelgrasswind/timer-service'
import * as zod from 'zod'
import * as control from './control.js'
import * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'
import * as tokenBucket from './token-bucket.js'

const weightStoreFault = zod.discriminatedUnion('type', [
  /** 503 with Retry-After. */
  zod.object({ type: zod.literal('refuse'), retryAfterMs: zod.number().optional() }),
  zod.object({ type: zod.literal('reset') }),
  /** The body is cut in the middle. */
  zod.object({ type: zod.literal('truncate') }),
  /** The body does not match its digest. */
  zod.object({ type: zod.literal('corrupt') })
])
export type WeightStoreFault = zod.infer<typeof weightStoreFault>

const weightStoreControl = zod.discriminatedUnion('type', [
  ...control.commonControl(weightStoreFault)
])
export type WeightStoreControl = zod.infer<typeof weightStoreControl>

export const weightStoreSettings = zod.object({
  port: zod.int(),
  requestsPerSecond: zod.number().positive().nullable().optional(),
  /** Bytes of each set of weights. */
  weightBytes: zod.int().positive().optional()
})
export type WeightStoreSettings = zod.infer<typeof weightStoreSettings> & { readonly timers?: timerService.TimerService }

export interface WeightStoreCounters {
  readonly served: number
  readonly refused: number
}

export interface WeightStoreStandIn {
  readonly address: string
  readonly faults: faultPlan.Faults<WeightStoreFault>
  control: (message: WeightStoreControl) => void
  counters: () => WeightStoreCounters
  close: () => Promise<void>
}

const defaultRetryAfterMs = 1000
const defaultWeightBytes = 64 * 1024

/** The bytes of one version of a model: always the same ones. */
export function weightsOf (model: string, version: string, bytes: number): Buffer {
  const seed = crypto.createHash('sha256').update(`${model}/${version}`).digest('hex')
  return Buffer.alloc(bytes, seed)
}

export async function createWeightStoreStandIn (settings: WeightStoreSettings): Promise<WeightStoreStandIn> {
  const timers = settings.timers ?? timerService.createRealTimers()
  const faults = faultPlan.createFaults<WeightStoreFault>()
  const perSecond = settings.requestsPerSecond ?? null
  const bucket = perSecond === null ? null : tokenBucket.createTokenBucket(timers, perSecond)
  let served = 0
  let refused = 0

  function refuse (exchange: httpHost.Exchange, status: 429 | 503, retryAfterMs: number): void {
    refused += 1
    httpHost.sendRefusal(exchange.res, status, retryAfterMs)
  }

  function serve (exchange: httpHost.Exchange, bytes: Buffer, fault: WeightStoreFault | undefined): void {
    const sha256 = crypto.createHash('sha256').update(bytes).digest('hex')
    const headers = { 'content-type': 'application/octet-stream', 'x-weights-sha256': sha256 }
    served += 1
    if (fault?.type === 'truncate') return httpHost.sendTruncated(exchange.res, bytes, headers)
    exchange.res.writeHead(200, { ...headers, 'content-length': bytes.length })
    exchange.res.end(fault?.type === 'corrupt' ? Buffer.alloc(bytes.length) : bytes)
  }

  function handle (exchange: httpHost.Exchange): void {
    if (control.serveControl(exchange, applyText, counters)) return
    const [version, collection, model, modelVersion] = exchange.path
    if (version !== 'v1' || collection !== 'weights' || model === undefined || modelVersion === undefined) throw new httpHost.HttpError(404, 'no such path')
    const fault = faults.take(model)
    if (fault?.type === 'reset') return httpHost.resetConnection(exchange.res)
    if (fault?.type === 'refuse') return refuse(exchange, 503, fault.retryAfterMs ?? defaultRetryAfterMs)
    const waitMs = bucket?.take() ?? 0
    if (waitMs > 0) return refuse(exchange, 429, waitMs)
    serve(exchange, weightsOf(model, modelVersion, settings.weightBytes ?? defaultWeightBytes), fault)
  }

  function applyText (body: string): void {
    apply(control.parseControl(weightStoreControl, body))
  }

  function apply (message: WeightStoreControl): void {
    control.applyFault(faults, message)
  }

  function counters (): WeightStoreCounters {
    return { served, refused }
  }

  const host = await httpHost.createHttpHost(settings.port, handle)

  async function close (): Promise<void> {
    await host.close()
    faults.clear()
  }

  return { address: host.address, faults, control: apply, counters, close }
}
