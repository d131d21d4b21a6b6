/** Waits until the hosts have a version of the configuration. */
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import type * as types from '@eelgrasswind/types'
import type * as operatorSettings from '../../base/operator-settings.js'
import * as askHosts from '../../platform/ask-hosts.js'

export interface HostsInForce {
  readonly have: readonly types.HostId[]
  readonly missing: readonly types.HostId[]
}

/** A change is in force everywhere within 6 s; longer than that is worth a word. */
const limitMs = 10_000
const lookMs = 500

function split (answers: readonly askHosts.HostAnswer<types.ProcessStatus>[], version: types.ConfigVersion): HostsInForce {
  const hasIt = ({ answer }: askHosts.HostAnswer<types.ProcessStatus>): boolean => answer.ok && answer.value.configVersion >= version
  return {
    have: answers.filter(hasIt).map(({ host }) => host.host),
    missing: answers.filter((one) => !hasIt(one)).map(({ host }) => host.host)
  }
}

/** The hosts that have a version, and those that do not after all. */
export async function waitForHosts (settings: operatorSettings.OperatorSettings, timers: timerService.TimerService, version: types.ConfigVersion, progress: (line: string) => void): Promise<HostsInForce> {
  const until = timers.monotonic() + limitMs
  const result = await askHosts.withHosts<HostsInForce>(settings, timers, async (hosts) => {
    for (;;) {
      const answers = await hosts.askAll((peer) => peer.getStatus())
      if (!answers.ok) return answers
      const found = split(answers.value, version)
      if (found.missing.length === 0 || timers.monotonic() + lookMs > until) return errors.ok(found)
      progress(`in force on ${found.have.length} of ${answers.value.length} hosts`)
      await timerService.sleep(timers, lookMs)
    }
  })
  return result.ok ? result.value : { have: [], missing: [] }
}

export function formatHosts ({ have, missing }: HostsInForce): string {
  const all = have.length + missing.length
  if (all === 0) return 'no host could be asked for the version in force'
  const rest = missing.length === 0 ? '' : `; not on ${missing.join(', ')}`
  return `in force on ${have.length} of ${all} hosts${rest}`
}
