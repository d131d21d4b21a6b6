/** Watches an owner that has not answered yet: one that is merely late is waited for, one that has ended or lost the shard is not. */
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as peerProbe from './peer-probe.js'

/** Dependencies of `watchOwner`. */
export interface LateOwnerPorts {
  readonly timers: timerService.TimerService
  readonly decisions: decisionLog.DecisionLog
  readonly peerProbe: Pick<peerProbe.PeerProbe, 'isReachable'>
}

/** The owner of a program's shard, as the process that needs it knows it. */
export interface OwnerTarget {
  /** IP:PORT. */
  readonly address: string
  /** Whether it still owns the shard, as far as this process knows. */
  readonly isOwner: () => boolean
  /** Reads the owners again, unless that was done just now. */
  readonly refreshOwners: () => void
  /** How long an owner that can be reached may take to answer, in ms: giving it up would move the request to the end of its queue. */
  readonly answerTimeoutMs: number
}

/** Why an owner is no longer waited for: the shard has another owner, or its process has ended or can't be reached. */
export type GiveUpReason = 'moved' | 'unreachable'

/** An owner that has not answered after this time, in ms, is late; one on a slow host answers within about 120. */
export const lateAfterMs = 250
/** Poll interval for another owner of the shard while the owner is late, in ms. */
const ownerPollMs = 25
/** Interval at which the owners are read again meanwhile, in ms: a suspended owner loses the shard when its lease expires. */
const refreshIntervalMs = 300

/** Calls `onGiveUp` once if the owner need not be waited for, unless the watch is cancelled before. */
export function watchOwner (ports: LateOwnerPorts, request: string, { address, isOwner, refreshOwners }: OwnerTarget, onGiveUp: (reason: GiveUpReason) => void): timerService.Subscription {
  const { timers, decisions, peerProbe: probe } = ports
  let isOver = false
  let poll: timerService.Subscription | undefined
  let refresh: timerService.Subscription | undefined
  const stop = (): void => {
    isOver = true
    lateTimer.cancel()
    poll?.cancel()
    refresh?.cancel()
  }
  const giveUp = (reason: GiveUpReason): void => {
    if (isOver) return
    stop()
    onGiveUp(reason)
  }
  const onLate = async (): Promise<void> => {
    decisions.record({ event: 'ownerLate', request, peer: address })
    poll = timers.every(ownerPollMs, () => { if (!isOwner()) giveUp('moved') })
    refresh = timers.every(refreshIntervalMs, refreshOwners)
    if (!await probe.isReachable(address)) giveUp('unreachable')
  }
  const lateTimer = timers.after(lateAfterMs, () => { void onLate() })
  return { cancel: stop }
}
