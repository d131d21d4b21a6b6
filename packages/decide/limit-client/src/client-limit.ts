/** Converts the configured limits of a client into rates with bursts. */
import * as errors from '@eelgrasswind/errors'
import type * as types from '@eelgrasswind/types'
import type * as shareOwner from './share-owner.js'

/** The configured limits of a client. */
export interface ConfiguredLimits {
  readonly callsPerSecond: number
  readonly startsPerMinute: number
}

const secondsPerMinute = 60
/** Bursts, in seconds of the rate. */
const callBurstSeconds = 2
const startBurstSeconds = 10

/** Returns the limit of the given name; its burst is at least one request. */
export function getClientLimit (configured: ConfiguredLimits, name: types.LimitName): shareOwner.ClientLimit {
  switch (name) {
    case 'calls': return createLimit(configured.callsPerSecond, callBurstSeconds)
    case 'starts': return createLimit(configured.startsPerMinute / secondsPerMinute, startBurstSeconds)
    default: return errors.assertNever(name)
  }
}

function createLimit (perSecond: number, burstSeconds: number): shareOwner.ClientLimit {
  return { perSecond, burst: Math.max(1, perSecond * burstSeconds) }
}
