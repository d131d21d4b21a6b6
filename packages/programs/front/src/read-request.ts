/** Checks the headers and reads the body of a request within size limits. */
import type * as http from 'node:http'
import type * as bodyBudget from '@eelgrasswind/body-budget'
import type * as drainServer from '@eelgrasswind/drain-server'
import * as messageFraming from '@eelgrasswind/message-framing'
import type * as routeRequest from '@eelgrasswind/route-request'
import type * as inbound from './inbound.js'

/** The refusal for a request whose headers exceed a limit; `undefined` if they exceed none. */
export function checkHeaders (req: http.IncomingMessage, bounds: routeRequest.ClientBounds): inbound.Refusal | undefined {
  let headerBytes = (req.method?.length ?? 0) + (req.url?.length ?? 0)
  for (const text of req.rawHeaders) headerBytes += text.length + 2
  if (headerBytes > bounds.maxHeaderBytes) return { type: 'headerTooLarge', limitBytes: bounds.maxHeaderBytes }
  if (Number(req.headers['content-length'] ?? 0) > bounds.maxBodyBytes) return { type: 'bodyTooLarge', limitBytes: bounds.maxBodyBytes }
  return undefined
}

/** Whether a body follows the headers, which may be empty. */
export function hasBody (req: http.IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

/** A body that is being read. */
export interface BodyRead {
  /** Frees what has arrived, and ignores what follows; `onBody` is not called any more. */
  readonly drop: () => void
}

/** Limits of a body. */
export interface BodyLimits {
  readonly maxBytes: number
  /** Counts the bytes that are kept, and is told when the body is whole. */
  readonly budgeted?: Pick<bodyBudget.BudgetedBody, 'add' | 'complete'>
}

/** Calls `onBody` with the complete body, or with `undefined` if it is too large; never if the client disconnects first. */
export function readBody (req: drainServer.CountedRequest, { maxBytes, budgeted }: BodyLimits, onBody: (body: Buffer | undefined) => void): BodyRead {
  let chunks: messageFraming.ByteList | undefined = new messageFraming.ByteList()
  let receivedBytes = 0
  // The request keeps its listeners for as long as its connection keeps it, and what they refer to.
  let pendingListener: typeof onBody | undefined = onBody
  const finish = (body: Buffer | undefined): void => {
    const listener = pendingListener
    chunks = undefined
    pendingListener = undefined
    listener?.(body)
  }
  req.collect((chunk) => {
    if (chunks === undefined) return
    receivedBytes += chunk.length
    if (receivedBytes <= maxBytes) {
      chunks.push(chunk)
      budgeted?.add(chunk.length)
      return
    }
    finish(undefined)
  })
  req.on('end', () => {
    if (chunks === undefined) return
    const body = chunks.concat()
    budgeted?.complete()
    finish(body)
  })
  return {
    drop () {
      chunks = undefined
      pendingListener = undefined
    }
  }
}
