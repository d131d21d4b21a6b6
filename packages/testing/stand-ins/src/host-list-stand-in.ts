/** Stand-in of the platform's list of hosts. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import * as zod from 'zod'
import * as control from './control.js'
import * as faultPlan from './faults.js'
import * as httpHost from './http-host.js'

const hostListFault = zod.discriminatedUnion('type', [
  /** 503 with Retry-After. */
  zod.object({ type: zod.literal('down'), retryAfterMs: zod.number().optional() }),
  /** The list is there, but without hosts. */
  zod.object({ type: zod.literal('empty') }),
  /** The connection is reset. */
  zod.object({ type: zod.literal('reset') }),
  /** No answer until the faults are cleared. */
  zod.object({ type: zod.literal('hang') }),
  /** The answer is cut in the middle. */
  zod.object({ type: zod.literal('truncate') })
])
export type HostListFault = zod.infer<typeof hostListFault>

const hostEntry = zod.object({
  host: zod.string(),
  role: zod.enum(['entry', 'sidecar']),
  region: zod.string(),
  availabilityZone: zod.string(),
  address: zod.string(),
  state: zod.enum(['live', 'leaving'])
})

const hostListControl = zod.discriminatedUnion('type', [
  ...control.commonControl(hostListFault),
  /** Adds a host or replaces the one of that id. */
  zod.object({ type: zod.literal('set'), host: hostEntry }),
  zod.object({ type: zod.literal('leave'), host: zod.string() }),
  zod.object({ type: zod.literal('remove'), host: zod.string() }),
  /** While stalled, readers get the list as it was at the stall. */
  zod.object({ type: zod.literal('stall'), stalled: zod.boolean() })
])
export type HostListControl = zod.infer<typeof hostListControl>

export const hostListSettings = zod.object({
  port: zod.int(),
  hosts: zod.array(hostEntry).optional()
})
export type HostListSettings = zod.input<typeof hostListSettings>

export interface HostListStandIn {
  readonly address: string
  readonly faults: faultPlan.Faults<HostListFault>
  control: (message: HostListControl) => void
  setHost: (host: types.HostEntry) => void
  leaveHost: (host: string) => void
  removeHost: (host: string) => void
  stall: (stalled: boolean) => void
  counters: () => { readonly reads: number }
  close: () => Promise<void>
}

const defaultRetryAfterMs = 1000

export async function createHostListStandIn (settings: HostListSettings): Promise<HostListStandIn> {
  const faults = faultPlan.createFaults<HostListFault>()
  let list: types.HostList = { version: 1, hosts: (settings.hosts ?? []) as unknown as readonly types.HostEntry[] }
  let stale: types.HostList | null = null
  let reads = 0

  function change (hosts: readonly types.HostEntry[]): void {
    list = { version: list.version + 1, hosts }
  }

  function setHost (host: types.HostEntry): void {
    change([...list.hosts.filter((one) => one.host !== host.host), host])
  }

  function leaveHost (host: string): void {
    change(list.hosts.map((one) => one.host === host ? { ...one, state: 'leaving' } : one))
  }

  function removeHost (host: string): void {
    change(list.hosts.filter((one) => one.host !== host))
  }

  function stall (stalled: boolean): void {
    stale = stalled ? stale ?? list : null
  }

  function serve (exchange: httpHost.Exchange): void {
    httpHost.sendJson(exchange.res, 200, stale ?? list)
  }

  async function serveFaulty (exchange: httpHost.Exchange, fault: HostListFault): Promise<void> {
    switch (fault.type) {
      case 'down':
        return httpHost.sendRefusal(exchange.res, 503, fault.retryAfterMs ?? defaultRetryAfterMs)
      case 'empty':
        return httpHost.sendJson(exchange.res, 200, { version: list.version, hosts: [] })
      case 'reset':
        return httpHost.resetConnection(exchange.res)
      case 'hang':
        await faults.cleared()
        return serve(exchange)
      case 'truncate':
        return httpHost.sendTruncated(exchange.res, JSON.stringify(list))
      default:
        errors.assertNever(fault)
    }
  }

  async function handle (exchange: httpHost.Exchange): Promise<void> {
    if (control.serveControl(exchange, applyText, counters)) return
    if (exchange.path.join('/') !== 'v1/hosts') throw new httpHost.HttpError(404, 'no such path')
    reads += 1
    const fault = faults.take('hosts')
    if (fault === undefined) return serve(exchange)
    await serveFaulty(exchange, fault)
  }

  function applyText (body: string): void {
    apply(control.parseControl(hostListControl, body))
  }

  function apply (message: HostListControl): void {
    switch (message.type) {
      case 'fault':
        return faults.set(message.fault, message)
      case 'clearFaults':
        return faults.clear()
      case 'set':
        return setHost(message.host as unknown as types.HostEntry)
      case 'leave':
        return leaveHost(message.host)
      case 'remove':
        return removeHost(message.host)
      case 'stall':
        return stall(message.stalled)
      default:
        errors.assertNever(message)
    }
  }

  function counters (): { readonly reads: number } {
    return { reads }
  }

  const host = await httpHost.createHttpHost(settings.port, handle)

  async function close (): Promise<void> {
    await host.close()
    faults.clear()
  }

  return { address: host.address, faults, control: apply, setHost, leaveHost, removeHost, stall, counters, close }
}
