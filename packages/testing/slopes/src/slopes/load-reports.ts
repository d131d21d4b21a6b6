/** Cost of a load report. */
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [1, 8, 64, 512]
const repetitions = 5

function loadsOf (count: number): types.UpstreamLoad[] {
  return Array.from({ length: count }, (_, index) => ({
    upstream: `engine-${index}` as types.UpstreamId,
    running: 24,
    waiting: 3,
    cacheTokens: 1_234_567,
    cacheCapacity: 2_000_000,
    at: 1_760_000_000_000 as types.EpochMs
  }))
}

export const loadReports: series.Slope = {
  name: 'load-report',
  measure: async () => [
    { name: 'report as JSON', per: 'upstream', unit: 'bytes', runs: series.repeat(1, sizes, (count) => JSON.stringify(loadsOf(count)).length) },
    {
      name: 'writing and reading a report',
      per: 'upstream',
      unit: 'us',
      runs: series.repeat(repetitions, sizes, (count) => {
        const loads = loadsOf(count)
        return measures.cpuUs(() => { JSON.parse(JSON.stringify(loads)) })
      })
    },
    {
      name: 'memory of loads',
      per: 'upstream',
      unit: 'bytes',
      runs: series.repeat(repetitions, sizes.map((size) => size * 16), (count) => {
        const text = JSON.stringify(loadsOf(count))
        return measures.bytesHeld(() => {
          const loads = JSON.parse(text) as types.UpstreamLoad[]
          return new Map(loads.map((load) => [load.upstream, load]))
        }).bytes
      })
    }
  ]
}
