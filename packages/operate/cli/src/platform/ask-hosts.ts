/** Asks the hosts of the platform's host list. */
import * as errors from '@eelgrasswind/errors'
import * as hostListClient from '@eelgrasswind/host-list-client'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import * as operatorSettings from '../base/operator-settings.js'
import type * as outcome from '../base/outcome.js'

export interface HostAnswer<T> {
  readonly host: types.HostEntry
  readonly answer: errors.Result<T>
}

export type Ask<T> = (peer: sidecarClient.PeerClient) => Promise<errors.Result<T>>

/** Hosts asked at the same time. */
const maxAsked = 32
const pingMs = 1000

async function askInTurn<T, R> (items: readonly T[], ask: (item: T) => Promise<R>): Promise<R[]> {
  const answers = new Array<R>(items.length)
  let next = 0
  const worker = async (): Promise<void> => {
    for (let index = next++; index < items.length; index = next++) answers[index] = await ask(items[index]!)
  }
  await Promise.all(Array.from({ length: Math.min(maxAsked, items.length) }, worker))
  return answers
}

export class Hosts {
  private readonly pool: sidecarClient.PeerPool

  constructor (private readonly list: hostListClient.HostListClient, timeoutMs: number) {
    const ignore = (): void => {}
    this.pool = sidecarClient.createPeerPool({ timeoutMs, pingIntervalMs: pingMs, pingTimeoutMs: pingMs, onSenderReceived: ignore, onUnavailable: ignore })
  }

  /** Asks every host of a role, or every host, and gives their answers in the order of their ids. */
  async askAll<T> (ask: Ask<T>, role?: types.HostRole): Promise<errors.Result<readonly HostAnswer<T>[], outcome.CliFailure>> {
    const list = await this.list.read()
    if (!list.ok) return errors.fail({ tag: 'unavailable', part: 'host list', message: list.failure.message })
    const hosts = list.value.hosts.filter((host) => role === undefined || host.role === role)
    const sorted = [...hosts].sort((a, b) => a.host < b.host ? -1 : 1)
    return errors.ok(await askInTurn(sorted, async (host) => ({ host, answer: await this.ask(host, ask) })))
  }

  ask<T> (host: types.HostEntry, ask: Ask<T>): Promise<errors.Result<T>> {
    return ask(this.pool.get(host.host, host.address))
  }

  async close (): Promise<void> {
    this.pool.close()
    await this.list.close()
  }
}

/** Opens the host list, lets a command ask hosts, and closes all connections again. */
export async function withHosts<T> (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, use: (hosts: Hosts) => Promise<errors.Result<T, outcome.CliFailure>>): Promise<errors.Result<T, outcome.CliFailure>> {
  const address = operatorSettings.requireAddress(settings, 'hostList')
  if (!address.ok) return address
  const list = hostListClient.createHostListClient({ address: address.value, timeoutMs: settings.hostList.timeoutMs, timers })
  const hosts = new Hosts(list, settings.hostTimeoutMs)
  try {
    return await use(hosts)
  } finally {
    await hosts.close()
  }
}

/** The answers that came, or a failure where hosts were asked and none answered. */
export function answered<T> (answers: readonly HostAnswer<T>[]): errors.Result<readonly { readonly host: types.HostEntry, readonly value: T }[], outcome.CliFailure> {
  const values = answers.flatMap(({ host, answer }) => answer.ok ? [{ host, value: answer.value }] : [])
  const [first] = answers
  if (values.length > 0 || first === undefined || first.answer.ok) return errors.ok(values)
  return errors.fail({ tag: 'unavailable', part: 'hosts', message: `none of ${answers.length} answered; ${first.host.host}: ${first.answer.failure.message}` })
}
