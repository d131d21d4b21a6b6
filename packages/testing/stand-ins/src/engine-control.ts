/** Requests to the engine stand-in other than generations: orders, load, sessions, cache events, transfer. */
import * as errors from '@eelgrasswind/errors'
import type * as zod from 'zod'
import * as control from './control.js'
import type * as engineCache from './engine-cache.js'
import type * as engineOrders from './engine-orders.js'
import * as httpHost from './http-host.js'
import type * as lateReports from './late-reports.js'
import * as messages from './engine-messages.js'
import type * as pausing from './pauses.js'
import type * as prefixTree from './prefix-tree.js'

export type ControlPlace = zod.infer<typeof messages.controlPlace>

export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly cacheTokens: number
  readonly cacheCapacity: number
  readonly at: number
}

export interface ControlParts {
  readonly pauses: pausing.Pauses
  readonly cache: engineCache.EngineCache
  readonly orders: engineOrders.EngineOrders
  readonly orderMs: number
  readonly load: lateReports.LaggingValue<LoadReport>
  readonly events: lateReports.EventFeed<prefixTree.CacheChange>
  /** Called after a change of the cache. */
  readonly changed: () => void
}

/** Carries out a request and gives the body of its answer; refusals are thrown. */
export type AnswerControl = (exchange: httpHost.Exchange, place: ControlPlace) => Promise<object>

export function createEngineControl (parts: ControlParts): AnswerControl {
  const { cache, orders } = parts

  function onSession (exchange: httpHost.Exchange): object {
    const session = exchange.path[2]
    if (session === undefined) return { sessions: cache.sessions() }
    if (exchange.method === 'DELETE') cache.release(session)
    else if (!cache.hold(session)) throw new httpHost.HttpError(404, 'no such session')
    parts.changed()
    return { session }
  }

  async function onOrder (exchange: httpHost.Exchange): Promise<object> {
    const { order, fencing } = control.parseControl(messages.orderRequest, exchange.body)
    if (parts.orderMs > 0) await parts.pauses.pause(parts.orderMs)
    if (!orders.take(order, fencing)) throw new httpHost.HttpError(409, 'old fencing number')
    return { fencing }
  }

  function onTransfer (exchange: httpHost.Exchange): object {
    if (exchange.path[2] === 'export') {
      const { session } = control.parseControl(messages.sessionRequest, exchange.body)
      return { session, chain: cache.exportChain(session) }
    }
    const { session, chain } = control.parseControl(messages.importRequest, exchange.body)
    if (!cache.importChain(session, chain)) throw new httpHost.HttpError(507, 'no room')
    parts.changed()
    return { session }
  }

  function onEvents (exchange: httpHost.Exchange): object {
    const from = Number(exchange.query.get('from') ?? 0)
    return { events: parts.events.from(from).map(({ seq, event }) => ({ seq, ...event })) }
  }

  return async (exchange, place) => {
    switch (place) {
      case 'orders':
        return await onOrder(exchange)
      case 'load':
        return parts.load.get()
      case 'sessions':
        return onSession(exchange)
      case 'cache':
        return onEvents(exchange)
      case 'kv':
        return onTransfer(exchange)
      case 'state':
        return orders.state()
      default:
        return errors.assertNever(place)
    }
  }
}
