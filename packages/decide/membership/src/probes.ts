/** Which suspect hosts to probe now. */
import type * as members from './member.js'
import type * as config from './settings.js'

function isDue (member: members.Member, now: number): boolean {
  return member.shown === 'suspect' && member.failures > 0 && member.nextProbeAt <= now
}

function postpone (member: members.Member, settings: config.MembershipSettings, now: number): void {
  member.probePauseMs = Math.min(settings.maxProbeMs, Math.max(settings.probeMs, member.probePauseMs * 2))
  member.nextProbeAt = now + member.probePauseMs
}

/** Takes at most `probesPerBatch` of the hosts that are due, the longest waiting first, and doubles their pause. */
export function takeDue (candidates: Iterable<members.Member>, settings: config.MembershipSettings, now: number): members.Member[] {
  const due = [...candidates].filter((member) => isDue(member, now))
  due.sort((a, b) => a.nextProbeAt - b.nextProbeAt)
  const chosen = due.slice(0, settings.probesPerBatch)
  for (const member of chosen) postpone(member, settings, now)
  return chosen
}
