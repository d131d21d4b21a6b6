/** Converts the rule names of the configuration to rules with default parameters. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as orderQueue from '@eelgrasswind/order-queue'
import * as retainPrefix from '@eelgrasswind/retain-prefix'

/** Queueing time after which a call takes precedence, in milliseconds. */
const starvationMs = 60_000
/** Duration of a prefix hold by the rule `fixed`, in milliseconds. */
const fixedHoldMs = 10_000
/** Queued calls per slot that the rule `queueBound` allows. */
const maxWaitingPerSlot = 2

export function toOrderRule (name: configState.QueueRule): orderQueue.OrderRule {
  switch (name) {
    case 'fifo': return { type: 'fifo' }
    case 'earliestDeadline': return { type: 'earliestDeadline', starvationMs }
    case 'leastAttained': return { type: 'leastAttained', starvationMs }
    case 'weightedSlack': return orderQueue.defaultOrderRule
    default: return errors.assertNever(name)
  }
}

export function toHoldRule (name: configState.HoldRule): retainPrefix.HoldRule {
  switch (name) {
    case 'always': return { type: 'always' }
    case 'never': return { type: 'never' }
    case 'fixed': return { type: 'fixed', holdMs: fixedHoldMs }
    case 'learnt': return retainPrefix.learntHoldRule
    default: return errors.assertNever(name)
  }
}

export function toAdmissionRule (name: configState.AdmissionRule): admitProgram.AdmissionRule {
  switch (name) {
    case 'none': return { type: 'none' }
    case 'queueBound': return { type: 'queueBound', waitingPerSlot: maxWaitingPerSlot }
    case 'inTime': return admitProgram.defaultAdmissionRule
    default: return errors.assertNever(name)
  }
}
