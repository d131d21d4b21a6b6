/** The rules that the configuration chooses by name, with their defaults for all else. */
import * as admitProgram from '@eelgrasswind/admit-program'
import type * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as orderQueue from '@eelgrasswind/order-queue'
import * as retainPrefix from '@eelgrasswind/retain-prefix'

const starvationMs = 60_000
const fixedHoldMs = 10_000
const waitingPerSlot = 2

export function orderRuleOf (name: configState.QueueRule): orderQueue.OrderRule {
  switch (name) {
    case 'fifo': return { type: 'fifo' }
    case 'earliestDeadline': return { type: 'earliestDeadline', starvationMs }
    case 'leastAttained': return { type: 'leastAttained', starvationMs }
    case 'weightedSlack': return orderQueue.defaultOrderRule
    default: return errors.assertNever(name)
  }
}

export function holdRuleOf (name: configState.HoldRule): retainPrefix.HoldRule {
  switch (name) {
    case 'always': return { type: 'always' }
    case 'never': return { type: 'never' }
    case 'fixed': return { type: 'fixed', holdMs: fixedHoldMs }
    case 'learnt': return retainPrefix.learntHoldRule
    default: return errors.assertNever(name)
  }
}

export function admissionRuleOf (name: configState.AdmissionRule): admitProgram.AdmissionRule {
  switch (name) {
    case 'none': return { type: 'none' }
    case 'queueBound': return { type: 'queueBound', waitingPerSlot }
    case 'inTime': return admitProgram.defaultAdmissionRule
    default: return errors.assertNever(name)
  }
}
