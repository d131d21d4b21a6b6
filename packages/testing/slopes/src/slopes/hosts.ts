/** Cost of a host list entry: the membership and what a process does with it on a timer. */
import * as membership from '@eelgrasswind/membership'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [30, 370, 2_000]
const repetitions = 5
const zones = 7
const incarnation = '0f8fad5b-d9cb-469f-a165-70867728950e' as types.Incarnation

export function hostListOf (count: number, version = 1): types.HostList {
  const hosts = Array.from({ length: count }, (_, index): types.HostEntry => ({
    host: `host-${index}` as types.HostId,
    role: index % 5 === 0 ? 'entry' : 'sidecar',
    region: `region-${index % 3}` as types.RegionId,
    availabilityZone: `zone-${index % zones}` as types.AvailabilityZoneId,
    address: `http://10.0.${index >> 8}.${index & 255}:7400`,
    state: 'live'
  }))
  return { version, hosts }
}

function tableOf (list: types.HostList): membership.Membership {
  const table = membership.createMembership({
    settings: membership.defaultMembershipSettings,
    self: 'host-0' as types.HostId,
    now: 0
  })
  table.applyHostList(list, 0)
  return table
}

function answeredBy (table: membership.Membership, list: types.HostList): void {
  for (const { host } of list.hosts) table.noteAnswer(host, incarnation, false, 1)
}

function heldBytes (count: number): number {
  return measures.bytesHeld(() => {
    const list = JSON.parse(JSON.stringify(hostListOf(count))) as types.HostList
    const table = tableOf(list)
    answeredBy(table, list)
    return table
  }).bytes
}

/** A list of a new version with nothing changed, as a poll brings it after a change elsewhere. */
function applyCost (count: number): number {
  const table = tableOf(hostListOf(count))
  const next = hostListOf(count, 2)
  let version = 1
  return measures.cpuUs(() => {
    version += 1
    table.applyHostList({ version, hosts: next.hosts }, 2)
  })
}

const ticksPerRun = 1_000

function tickCost (count: number): number {
  const list = hostListOf(count)
  const table = tableOf(list)
  answeredBy(table, list)
  let now = 0
  return measures.cpuUs(() => {
    for (let tick = 0; tick < ticksPerRun; tick += 1) table.tick(now += 1_000)
  }) / ticksPerRun
}

function answerCost (count: number): number {
  const list = hostListOf(count)
  const table = tableOf(list)
  return measures.cpuUs(() => answeredBy(table, list)) / count
}

/** One host fails, and answers again after the next batch. */
function changeCost (count: number): number {
  const table = tableOf(hostListOf(count))
  const select = membership.createHostSelector((entry) => entry.region === 'region-1')
  const changing = hostListOf(count).hosts
  let now = 0
  let next = 0
  return measures.cpuUs(() => {
    const host = changing[next++ % count]!.host
    table.noteFailure(host, now)
    table.tick(now += 1_000)
    select(table.getView())
    table.noteAnswer(host, incarnation, false, now)
    table.tick(now += 1_000_000)
    select(table.getView())
  }) / 2
}

export const hosts: series.Slope = {
  name: 'host-list',
  measure: async () => [
    { name: 'memory of the membership', per: 'host', unit: 'bytes', runs: series.repeat(repetitions, sizes, heldBytes) },
    { name: 'host list as JSON', per: 'host', unit: 'bytes', runs: series.repeat(1, sizes, (count) => JSON.stringify(hostListOf(count)).length) },
    {
      name: 'parsing a host list',
      per: 'host',
      unit: 'us',
      runs: series.repeat(repetitions, sizes, (count) => {
        const text = JSON.stringify(hostListOf(count))
        return measures.cpuUs(() => { JSON.parse(text) })
      })
    },
    { name: 'applying a list of a new version', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, applyCost) },
    { name: 'a change of the view and its selection', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, changeCost) },
    { name: 'a tick without change', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, tickCost) },
    { name: 'noting an answer', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, answerCost) }
  ]
}
