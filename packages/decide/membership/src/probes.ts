/** Schedules probes of suspect hosts, and of those that reported to be leaving, with exponential backoff. */
import type * as members from './member.js'
import type * as config from './settings.js'

/** Whether only an answer can change the state. A host that reported to be leaving gets no requests that would show its next incarnation. */
function needsProbe (member: members.Member): boolean {
  if (member.publishedState === 'suspect') return member.failures > 0
  return member.publishedState === 'leaving' && member.leavingAt !== undefined
}

function isDue (member: members.Member, now: number): boolean {
  return needsProbe(member) && member.nextProbeAt <= now
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
