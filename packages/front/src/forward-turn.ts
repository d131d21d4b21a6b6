/** Passes a turn on to the process that owns its program, and its answer back. */
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as dispatch from './dispatch.js'
import * as forwardHeader from './forward-header.js'
import type * as inbound from './inbound.js'

/** What came of passing a turn on. */
export type ForwardOutcome =
  /** The answer was passed back, or the client has been told otherwise. */
  | { readonly type: 'answered' }
  /** The other process does not own the program; nothing ran. */
  | { readonly type: 'notOwner' }
  /** No connection or no go-ahead; nothing ran. Ended: its host says that no such process runs. */
  | { readonly type: 'unreachable', readonly detail: string, readonly ended: boolean }

/** Time for a connection to a peer, in ms: links take about one ms, so only an unreachable host takes longer. */
const connectTimeoutMs = 200
/**
 * Time for the owner to say that it takes the turn, in ms. A stopped process is found out after this, and the turn
 * has certainly not run there; a slow machine, or one whose processor share is used up, answers within about 120.
 */
const confirmMs = 250

/** Resolves when the client has its answer, or when it is certain that nothing ran. */
export function forwardTurn (ports: dispatch.DispatchPorts, req: inbound.Inbound, address: string): Promise<ForwardOutcome> {
  const { dialect, sender, timers } = ports
  const leftMs = Math.floor(req.deadlineAt - timers.monotonic())
  return new Promise((resolve) => {
    const { reply } = req
    let relaying = false
    const exchange = sender.send({
      address,
      method: req.method,
      path: req.path,
      headers: [...dialect.peerHeaders(req.rawHeaders, { deadlineMs: leftMs, bodyBytes: req.body.length }), ...forwardHeader.encode(req)],
      body: req.body,
      connectTimeoutMs,
      confirmMs,
      // Its go-ahead shows that the connection lives.
      atMostOnce: false
    }, {
      head: (head) => {
        if (forwardHeader.saysNotOwner(head.headers)) {
          exchange.cancel()
          limit.cancel()
          resolve({ type: 'notOwner' })
          return
        }
        relaying = true
        reply.head(head.status, dialect.answerHeaders(head.rawHeaders))
      },
      data: (chunk) => {
        if (reply.data(chunk)) return
        exchange.pause()
        reply.onDrain(() => { exchange.resume() })
      },
      end: () => {
        reply.end()
        finish({ type: 'answered' })
      },
      fail: (failure) => { onFail(failure) }
    })
    const finish = (outcome: ForwardOutcome): void => {
      limit.cancel()
      resolve(outcome)
    }
    const onFail = (failure: sendHttp.SendFailure): void => {
      if (failure.verdict === 'notRun') {
        finish({ type: 'unreachable', detail: failure.detail, ended: failure.cause === 'refused' })
        return
      }
      ports.decisions.note({ event: 'peerAnswerLost', request: req.attempt.id, peer: address, cause: failure.cause, detail: failure.detail })
      if (relaying) reply.abort()
      else reply.refuse({ type: 'answerLost', detail: 'the connection to the owner of the program broke off' })
      finish({ type: 'answered' })
    }
    const limit = timers.after(leftMs, () => {
      exchange.cancel()
      if (relaying) reply.abort()
      else reply.refuse({ type: 'timeout' })
      finish({ type: 'answered' })
    })
    reply.onGone(() => {
      exchange.cancel()
      finish({ type: 'answered' })
    })
  })
}
