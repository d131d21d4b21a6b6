/** Control over HTTP, for stand-ins that run as a process of their own. */
import * as errors from '@eelgrasswind/errors'
import * as zod from 'zod'
import type * as standInFaults from './faults.js'
import * as httpHost from './http-host.js'

/** Path of the control requests: POST sends one message, GET reads the counters. */
export const controlPath = 'control'

const faultOptions = { scope: zod.string().optional(), times: zod.int().positive().optional() }

/** The control messages that every stand-in takes. */
export function commonControl<Fault extends zod.ZodType> (fault: Fault) {
  return [
    zod.object({ type: zod.literal('fault'), fault, ...faultOptions }),
    zod.object({ type: zod.literal('clearFaults') })
  ] as const
}

/** A control message that sets or clears faults. */
export type FaultMessage<Fault> =
  | standInFaults.FaultOptions & { readonly type: 'fault', readonly fault: Fault }
  | { readonly type: 'clearFaults' }

/** Does what such a message says. */
export function applyFault<Fault> (faults: standInFaults.Faults<Fault>, message: FaultMessage<Fault>): void {
  switch (message.type) {
    case 'fault':
      return faults.set(message.fault, message)
    case 'clearFaults':
      return faults.clear()
    default:
      errors.assertNever(message)
  }
}

/** Parses a control message, or answers 400. */
export function parseControl<Schema extends zod.ZodType> (schema: Schema, body: string): zod.output<Schema> {
  const parsed = schema.safeParse(parseJson(body))
  if (!parsed.success) throw new httpHost.HttpError(400, parsed.error.message)
  return parsed.data
}

export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new httpHost.HttpError(400, 'the body is not JSON')
  }
}

/** Serves the control path of a stand-in; false where the request is for something else. */
export function serveControl (exchange: httpHost.Exchange, apply: (body: string) => void, counters: () => unknown): boolean {
  if (exchange.path[0] !== controlPath || exchange.path.length !== 1) return false
  if (exchange.method === 'POST') {
    apply(exchange.body)
    httpHost.sendJson(exchange.res, 200, { ok: true })
  } else {
    httpHost.sendJson(exchange.res, 200, counters())
  }
  return true
}
