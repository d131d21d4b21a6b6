/** Cost of a rendezvous lookup, and of the plan of load reports, by the number of hosts. */
import * as chooseHome from '@eelgrasswind/choose-home'
import * as membership from '@eelgrasswind/membership'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const sizes = [30, 370, 2_000]
const repetitions = 5
const lookupsPerRun = 1_000

function hostNames (count: number): types.HostId[] {
  return Array.from({ length: count }, (_, index) => `host-${index}` as types.HostId)
}

function programNames (count: number): types.ProgramId[] {
  return Array.from({ length: count }, (_, index) => `order-2026-12-02-${index}` as types.ProgramId)
}

async function measure (): Promise<readonly series.Series[]> {
  const homes = await chooseHome.createHomeChooser()
  const ranking = await chooseHome.createRendezvous()
  const programs = programNames(lookupsPerRun)

  function lookupCost (count: number): number {
    const hosts = hostNames(count)
    return measures.cpuUs(() => { for (const program of programs) homes.findHome(program, hosts) }) / lookupsPerRun
  }

  function rankCost (count: number): number {
    const hosts = hostNames(count)
    return measures.cpuUs(() => { for (const program of programs) homes.rankHomes(program, hosts) }) / lookupsPerRun
  }

  function firstLookupCost (count: number): number {
    const hosts = hostNames(count)
    // A copy of the list is a new list to the cache.
    return measures.cpuUs(() => homes.findHome(programs[0]!, [...hosts]))
  }

  function planCost (count: number): number {
    const hosts = hostNames(count)
    return measures.cpuUs(() => {
      membership.planReports({
        ranking,
        settings: membership.defaultReportSettings,
        self: hosts[0]!,
        own: { availabilityZone: 'zone-1' as types.AvailabilityZoneId, hosts },
        others: []
      })
    })
  }

  return [
    { name: 'home of a program', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, lookupCost) },
    { name: 'first three in rank', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, rankCost) },
    { name: 'first lookup after a change', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, firstLookupCost) },
    { name: 'plan of load reports after a change', per: 'host', unit: 'us', runs: series.repeat(repetitions, sizes, planCost) }
  ]
}

export const homes: series.Slope = { name: 'rendezvous', measure }
