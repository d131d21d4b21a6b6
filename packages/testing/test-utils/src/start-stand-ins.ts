/** The stand-ins of one small deployment, closed with the test. */
import * as url from 'node:url'
import * as standIns from '@eelgrasswind/stand-ins'
import * as spawning from './spawn-process.js'
import type * as testScope from './test-scope.js'

export interface StandInsSettings {
  readonly log?: Omit<standIns.LogSettings, 'port'>
  readonly hostList?: Omit<standIns.HostListSettings, 'port'>
  /** One engine for each. */
  readonly engines?: readonly Omit<standIns.EngineSettings, 'port'>[]
  /** One service for each. */
  readonly services?: readonly Omit<standIns.ServiceSettings, 'port'>[]
}

export interface StandIns {
  readonly log: standIns.LogStandIn
  readonly hostList: standIns.HostListStandIn
  readonly engines: readonly standIns.EngineStandIn[]
  readonly services: readonly standIns.ServiceStandIn[]
}

const port = 0

/** An engine whose answers come at once. */
export const instantEngine: Omit<standIns.EngineSettings, 'port'> = { tokenMs: 0, prefillTokensPerSecond: null }

/** Starts a log, a host list, and by default one instant engine and one service, in this process. */
export async function startStandIns (t: testScope.TestScope, settings: StandInsSettings = {}): Promise<StandIns> {
  const log = await standIns.createLogStandIn({ ...settings.log, port })
  const hostList = await standIns.createHostListStandIn({ ...settings.hostList, port })
  const engines = await Promise.all((settings.engines ?? [instantEngine]).map((one) => standIns.createEngineStandIn({ ...one, port })))
  const services = await Promise.all((settings.services ?? [{}]).map((one) => standIns.createServiceStandIn({ ...one, port })))
  t.teardown(() => Promise.all([log, hostList, ...engines, ...services].map((one) => one.close())))
  return { log, hostList, engines, services }
}

/** Settings of a stand-in that runs as a process of its own. */
export type StandInProcess =
  | { readonly kind: 'log' } & Omit<standIns.LogSettings, 'port' | 'timers'>
  | { readonly kind: 'hostList' } & Omit<standIns.HostListSettings, 'port'>
  | { readonly kind: 'engine' } & Omit<standIns.EngineSettings, 'port' | 'timers'>
  | { readonly kind: 'service' } & Omit<standIns.ServiceSettings, 'port' | 'timers'>
  | { readonly kind: 'weightStore' } & Omit<standIns.WeightStoreSettings, 'port' | 'timers'>

export interface SpawnedStandIn extends spawning.SpawnedProcess {
  readonly address: string
  /** Sends a control message. */
  readonly control: (message: unknown) => Promise<void>
  /** Reads the counters. */
  readonly counters: () => Promise<unknown>
}

/** Starts one stand-in as a process, to be killed or paused. */
export async function spawnStandIn (t: testScope.TestScope, settings: StandInProcess): Promise<SpawnedStandIn> {
  const main = url.fileURLToPath(new URL('main.js', import.meta.resolve('@eelgrasswind/stand-ins')))
  const spawned = await spawning.spawnProcess(t, main, { ...settings, port })
  const address = String(spawned.ready.address)

  async function control (message: unknown): Promise<void> {
    const res = await fetch(`${address}/control`, { method: 'POST', body: JSON.stringify(message) })
    if (!res.ok) throw new Error(`control: ${res.status} ${await res.text()}`)
  }

  async function counters (): Promise<unknown> {
    return await (await fetch(`${address}/control`)).json()
  }

  return { ...spawned, address, control, counters }
}
