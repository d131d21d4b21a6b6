/** Passes a turn on to the process that owns its program, and its answer back. */
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as dispatch from './dispatch.js'
import * as forwardHeader from './forward-header.js'
import type * as inbound from './inbound.js'
import type * as peerProbe from './peer-probe.js'

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

/**
 * A passed-on turn from which nothing came for this long, in ms, makes its owner be asked whether it lives. A host that
 * lost its power closes no connection: without the question each turn there waits for its whole time, 4 s, and its
 * client with it; with it the client can send the turn again after about 0.8 s.
 */
const quietMs = 400

/** What it takes to pass turns on. */
export interface ForwardPorts extends dispatch.DispatchPorts {
  readonly probe: peerProbe.PeerProbe
}

/** Resolves when the client has its answer, or when it is certain that nothing ran. */
export function forwardTurn (ports: ForwardPorts, req: inbound.InboundRequest, address: string): Promise<ForwardOutcome> {
  const { dialect, sender, timers } = ports
  const leftMs = Math.floor(req.deadlineAt - timers.monotonic())
  return new Promise((resolve) => {
    const { reply } = req
    let relaying = false
    let over = false
    let heardAt = timers.monotonic()
    const exchange = sender.send({
      address,
      method: req.method,
      path: req.path,
      headers: [...dialect.peerHeaders(req.rawHeaders, { deadlineMs: leftMs, bodyBytes: req.body.length, caller: req.caller }), ...forwardHeader.encode(req)],
      body: req.body,
      connectTimeoutMs,
      confirmMs,
      // Its go-ahead shows that the connection lives.
      atMostOnce: false
    }, {
      head: (head) => {
        heardAt = timers.monotonic()
        if (forwardHeader.saysNotOwner(head.headers)) {
          exchange.cancel()
          finish({ type: 'notOwner' })
          return
        }
        relaying = true
        reply.head(head.status, dialect.answerHeaders(head.rawHeaders))
      },
      data: (chunk) => {
        heardAt = timers.monotonic()
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
      over = true
      limit.cancel()
      watch.cancel()
      resolve(outcome)
    }
    const watch = timers.every(quietMs, () => { void checkOwner() })
    const checkOwner = async (): Promise<void> => {
      const quietSince = heardAt
      if (timers.monotonic() - quietSince < quietMs || await ports.probe.lives(address)) return
      if (over || heardAt !== quietSince) return
      exchange.cancel()
      onFail({ verdict: 'mayHaveRun', cause: 'cancelled', detail: 'the owner of the program does not answer any more', reused: false })
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
