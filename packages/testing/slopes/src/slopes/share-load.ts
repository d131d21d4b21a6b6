/** What a front spends on the load of upstreams: reports of its peers, and choosing by them. */
import * as shareLoad from '@eelgrasswind/share-load'
import * as trackUpstreams from '@eelgrasswind/track-upstreams'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const entrySizes = [5, 20, 50]
const upstreamSizes = [24, 400, 1_600]
const repetitions = 3
const reports = 5_000
const choices = 500
const slots = 8

function idOf (index: number): types.UpstreamId {
  return `i-${index.toString(16).padStart(10, '0')}` as types.UpstreamId
}

function messageOf (entries: number): shareLoad.LoadMessage {
  return { running: new Map(Array.from({ length: entries }, (_, index) => [idOf(index), 1 + index % slots])), marks: [] }
}

function takeReportUs (entries: number): number {
  const loads = new trackUpstreams.PeerLoads()
  const bytes = shareLoad.encodeLoad(messageOf(entries))
  return measures.cpuUs(() => {
    for (let index = 0; index < reports; index += 1) loads.applyReport(`peer-${index % 48}`, shareLoad.decodeLoad(bytes).running, index)
  }) / reports
}

function chooseUs (count: number): number {
  const list = new trackUpstreams.UpstreamList()
  const service = 'engines' as types.ServiceId
  for (let index = 0; index < count; index += 1) {
    list.put({ id: idOf(index), service, address: `${index}`, name: 'n', slots, leaving: false })
  }
  const candidates = list.getByService(service)
  return measures.cpuUs(() => {
    for (let index = 0; index < choices; index += 1) {
      const affinity = { holder: undefined, sharedPrefix: `part-${index % 8}` }
      const chosen = trackUpstreams.chooseUpstream({ candidates, tried: new Set(), affinity, othersRunning: () => 3, now: 0, random: Math.random })
      if (chosen === undefined) throw new Error('none chosen')
    }
  }) / choices
}

export const shareLoads: series.Slope = {
  name: 'share-load',
  measure: async () => [
    { name: 'bytes of a report', per: 'upstream in use', unit: 'bytes', runs: series.repeat(1, entrySizes, (entries) => shareLoad.encodeLoad(messageOf(entries)).length) },
    { name: 'taking a report in', per: 'upstream in use', unit: 'us', runs: series.repeat(repetitions, entrySizes, takeReportUs) },
    { name: 'choosing for a first turn', per: 'upstream', unit: 'us', runs: series.repeat(repetitions, upstreamSizes, chooseUs) }
  ]
}
