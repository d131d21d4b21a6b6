/** Which suspect hosts to probe now. */
import type * as members from './member.js'
import type * as config from './settings.js'

function isDue (member: members.Member, now: number): boolean {
  return member.publishedState === 'suspect' && member.failures > 0 && member.nextProbeAt <= now
}

function scheduleNextProbe (member: members.Member, settings: config.MembershipSettings, now: number): void {
  member.probeBackoffMs = Math.min(settings.maxProbeMs, Math.max(settings.probeMs, member.probeBackoffMs * 2))
  member.nextProbeAt = now + member.probeBackoffMs
}

/** Takes at most `probesPerBatch` of the hosts that are due, the longest waiting first, and doubles their pause. */
export function takeDueProbes (candidates: Iterable<members.Member>, settings: config.MembershipSettings, now: number): members.Member[] {
  const due = [...candidates].filter((member) => isDue(member, now))
  due.sort((a, b) => a.nextProbeAt - b.nextProbeAt)
  const chosen = due.slice(0, settings.probesPerBatch)
  for (const member of chosen) scheduleNextProbe(member, settings, now)
  return chosen
}
