/** Cost of a client account: its configuration and the owner's side of its limit. */
import * as configState from '@eelgrasswind/config-state'
import * as limitClient from '@eelgrasswind/limit-client'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [1_000, 5_000, 22_000]
const holderSizes = [1, 30, 370]
const repetitions = 5

function documentOf (count: number): string {
  const clients = Object.fromEntries(Array.from({ length: count }, (_, index) => [
    `client-${index}`,
    { tokenSha256: index.toString(16).padStart(64, '0'), startsPerMinute: 60, callsPerSecond: 20 }
  ]))
  return JSON.stringify({ clients })
}

function configBytes (count: number): number {
  const text = documentOf(count)
  return measures.bytesHeld(() => configState.fromDocument(configState.documentShape.parse(JSON.parse(text)))).bytes
}

function checkCost (count: number): number {
  const text = documentOf(count)
  return measures.cpuUs(() => { configState.fromDocument(configState.documentShape.parse(JSON.parse(text))) })
}

const limit: limitClient.ClientLimit = { perSecond: 20, burst: 40 }

function ownersBytes (count: number): number {
  const holder = 'host-1' as types.HostId
  return measures.bytesHeld(() => Array.from({ length: count }, () => {
    const owner = limitClient.createShareOwner(limit, 0)
    return limitClient.grantShare(owner, { holder, wantedPerSecond: 1, wantedCredit: 1 }, 1).owner
  })).bytes
}

function holdersBytes (count: number): number {
  return measures.bytesHeld(() => Array.from({ length: count }, () => limitClient.createShareHolder(0))).bytes
}

/** One holder asks while others hold leases. */
function grantCost (holders: number): number {
  let owner = limitClient.createShareOwner(limit, 0)
  let next = 0
  const ask = (): void => {
    const holder = `host-${next++ % holders}` as types.HostId
    owner = limitClient.grantShare(owner, { holder, wantedPerSecond: 0.05, wantedCredit: 0 }, 1).owner
  }
  for (let index = 0; index < holders; index += 1) ask()
  return measures.cpuUs(ask)
}

export const clients: series.Slope = {
  name: 'client-account',
  measure: async () => [
    { name: 'configuration as JSON', per: 'client', unit: 'bytes', runs: series.repeat(1, sizes, (count) => documentOf(count).length) },
    { name: 'memory of the configuration', per: 'client', unit: 'bytes', runs: series.repeat(repetitions, sizes, configBytes) },
    { name: 'parsing and checking the whole document', per: 'client', unit: 'us', runs: series.repeat(repetitions, sizes, checkCost) },
    { name: 'memory of an owner with one holder', per: 'client', unit: 'bytes', runs: series.repeat(repetitions, sizes, ownersBytes) },
    { name: 'memory of a holder', per: 'client', unit: 'bytes', runs: series.repeat(repetitions, sizes, holdersBytes) },
    { name: 'a grant, by holders of that client', per: 'holder', unit: 'us', runs: series.repeat(repetitions, holderSizes, grantCost) }
  ]
}
