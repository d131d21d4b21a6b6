/** What is loaded on the engine stand-in, and the orders that change it. */
import * as errors from '@eelgrasswind/errors'
import type * as messages from './engine-messages.js'

export interface EngineState {
  readonly models: readonly { readonly model: string, readonly version: string }[]
  readonly adapters: readonly string[]
  readonly role: string
  /** Highest fencing number taken; 0 where fencing numbers are ignored. */
  readonly fencing: number
}

export interface EngineOrders {
  /** False where the fencing number is an old one. */
  take: (order: messages.EngineOrder, fencing: number) => boolean
  state: () => EngineState
  /** Orders that took effect, oldest first. */
  taken: () => readonly messages.EngineOrder[]
}

export function createEngineOrders (models: EngineState['models'], checksFencing: boolean): EngineOrders {
  const taken: messages.EngineOrder[] = []
  let state: EngineState = { models, adapters: [], role: 'both', fencing: 0 }

  function apply (order: messages.EngineOrder): void {
    switch (order.type) {
      case 'loadModel':
        state = { ...state, models: [...state.models.filter((one) => one.model !== order.model), { model: order.model, version: order.version }] }
        return
      case 'loadAdapter':
        state = { ...state, adapters: [...new Set([...state.adapters, order.adapter])] }
        return
      case 'setRole':
        state = { ...state, role: order.role }
        return
      default:
        errors.assertNever(order)
    }
  }

  function take (order: messages.EngineOrder, fencing: number): boolean {
    if (checksFencing && fencing < state.fencing) return false
    apply(order)
    taken.push(order)
    if (checksFencing) state = { ...state, fencing }
    return true
  }

  return { take, state: () => state, taken: () => taken }
}
