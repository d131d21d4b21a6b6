/** A client's limits, as the configuration gives them, as rates with bursts. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as shareOwner from './share-owner.js'

/** What the configuration says of a client. */
export interface ConfiguredLimits {
  readonly callsPerSecond: number
  readonly startsPerMinute: number
}

const secondsPerMinute = 60
/** What may be taken at once after a quiet time, in seconds of the rate. */
const callBurstSeconds = 2
const startBurstSeconds = 10

/** Every limit lets at least one request through at once. */
export function getClientLimit (configured: ConfiguredLimits, name: types.LimitName): shareOwner.ClientLimit {
  switch (name) {
    case 'calls': return createLimit(configured.callsPerSecond, callBurstSeconds)
    case 'starts': return createLimit(configured.startsPerMinute / secondsPerMinute, startBurstSeconds)
    default: return errors.unreachable(name)
  }
}

function createLimit (perSecond: number, burstSeconds: number): shareOwner.ClientLimit {
  return { perSecond, burst: Math.max(1, perSecond * burstSeconds) }
}
