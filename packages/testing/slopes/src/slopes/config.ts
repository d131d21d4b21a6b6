/** Cost of a configuration record by the size of the configuration in force. */
import * as configState from '@eelgrasswind/config-state'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [1_000, 5_000, 22_000]
const repetitions = 3
const at = 1_760_000_000_000 as types.EpochMs

function clientOf (index: number, callsPerSecond: number): object {
  return { tokenSha256: index.toString(16).padStart(64, '0'), startsPerMinute: 60, concurrentPrograms: 100, callsPerSecond }
}

function changeOf (version: number, clients: object): string {
  return JSON.stringify({ format: configState.configFormat, id: `change-${version}`, basedOn: version, puts: { clients }, deletes: {}, by: 'operator', at })
}

function applied (state: configState.ConfigState, data: string): configState.ConfigState {
  const { state: next, effect } = configState.applyRecord(state, { offset: configState.nextOffset(state), at, data })
  if (effect.type !== 'accepted') throw new Error(`the change was ${effect.type}`)
  return next
}

function stateOf (clients: number): configState.ConfigState {
  const all = Object.fromEntries(Array.from({ length: clients }, (_, index) => [`client-${index}`, clientOf(index, 20)]))
  return applied(configState.initialState, changeOf(0, all))
}

/** One client's limit is changed, again and again. */
function changeCost (clients: number): number {
  let state = stateOf(clients)
  let rate = 0
  return measures.cpuUs(() => {
    rate += 1
    state = applied(state, changeOf(state.version, { 'client-7': clientOf(7, rate) }))
  })
}

function copyBytes (clients: number): number {
  return configState.encodeChange(configState.makeCopy(stateOf(clients), { id: 'copy' as configState.ChangeId, by: 'sidecar', at })).length
}

export const config: series.Slope = {
  name: 'config-record',
  measure: async () => [
    { name: 'a change of one client, by clients in force', per: 'client', unit: 'us', runs: series.repeat(repetitions, sizes, changeCost) },
    { name: 'a whole copy as JSON', per: 'client', unit: 'bytes', runs: series.repeat(1, sizes, copyBytes) },
    { name: 'a change as JSON, by clients changed', per: 'client', unit: 'bytes', runs: series.repeat(1, [1, 10, 100], (count) => changeOf(1, Object.fromEntries(Array.from({ length: count }, (_, index) => [`client-${index}`, clientOf(index, 20)]))).length) }
  ]
}
