/** Schedules probes of suspect hosts with exponential backoff. */
import type * as members from './member.js'
import type * as config from './settings.js'

function isDue (member: members.Member, now: number): boolean {
  return member.publishedState === 'suspect' && member.failures > 0 && member.nextProbeAt <= now
}

function scheduleNextProbe (member: members.Member, settings: config.MembershipSettings, now: number): void {
  member.probeBackoffMs = Math.min(settings.maxProbeMs, Math.max(settings.probeMs, member.probeBackoffMs * 2))
  member.nextProbeAt = now + member.probeBackoffMs
}

/** Returns at most `probesPerBatch` hosts that are due, the longest overdue first, and doubles their probe interval. */
export function takeDueProbes (candidates: Iterable<members.Member>, settings: config.MembershipSettings, now: number): members.Member[] {
  const due = [...candidates].filter((member) => isDue(member, now))
  due.sort((a, b) => a.nextProbeAt - b.nextProbeAt)
  const chosen = due.slice(0, settings.probesPerBatch)
  for (const member of chosen) scheduleNextProbe(member, settings, now)
  return chosen
}
