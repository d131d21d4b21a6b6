/** Forwards a turn to the process that owns its program, and relays the answer. */
import type * as sendHttp from '@eelgrasswind/send-http'
import type * as dispatch from './dispatch.js'
import * as forwardHeader from './forward-header.js'
import type * as inbound from './inbound.js'
import type * as peerProbe from './peer-probe.js'

/** Outcome of forwarding a turn. */
export type ForwardOutcome =
  /** The request is over: the owner's answer was relayed, the reply was refused or aborted, or the client disconnected. */
  | { readonly type: 'answered' }
  /** The other process does not own the program; the turn has not run. */
  | { readonly type: 'notOwner' }
  /** No connection, or no `100 Continue`; the turn has not run. `ended`: the host refused the connection, so the process has ended. */
  | { readonly type: 'unreachable', readonly detail: string, readonly ended: boolean }

/** Connect timeout for peers, in ms: network links take about one ms, so only an unreachable host takes longer. */
const connectTimeoutMs = 200
/**
 * Timeout for the owner's `100 Continue`, in ms. A process that does not respond is detected after this time, and the
 * turn has certainly not run there; a slow machine, or one whose CPU quota is used up, answers within about 120.
 */
const confirmTimeoutMs = 250

/**
 * The owner is probed if nothing has arrived from it for this long, in ms. A host that has lost power closes no
 * connection: without the probe, each turn there waits for its full timeout, and so does its client. An owner that is
 * busy, or waits for the store, is waited for.
 */
const silenceThresholdMs = 400

/** Dependencies of `forwardTurn`. */
export interface ForwardPorts extends dispatch.DispatchPorts {
  readonly peerProbe: peerProbe.PeerProbe
}

/** Resolves when the request is over, or when it is certain that the turn has not run. */
export function forwardTurn (ports: ForwardPorts, req: inbound.InboundRequest, address: string): Promise<ForwardOutcome> {
  const { dialect, sender, timers } = ports
  const remainingMs = Math.floor(req.deadlineAt - timers.monotonic())
  return new Promise((resolve) => {
    const { reply } = req
    let isRelaying = false
    let isFinished = false
    let lastReceivedAt = timers.monotonic()
    const exchange = sender.send({
      address,
      method: req.method,
      path: req.path,
      headers: [...dialect.peerHeaders(req.rawHeaders, { deadlineMs: remainingMs, bodyBytes: req.body.length, caller: req.caller }), ...forwardHeader.encode(req)],
      body: req.body,
      connectTimeoutMs,
      continueTimeoutMs: confirmTimeoutMs,
      // The owner's `100 Continue` shows that the connection is alive.
      atMostOnce: false,
      maxAnswerBytes: ports.maxAnswerBytes
    }, {
      onHead: (head) => {
        lastReceivedAt = timers.monotonic()
        if (forwardHeader.isNotOwnerRefusal(head.headers)) {
          exchange.cancel()
          finish({ type: 'notOwner' })
          return
        }
        isRelaying = true
        // Only an upstream signs its answers; one without a signature is the owner's own.
        reply.head(head.status, dialect.answerHeaders(head.rawHeaders), dialect.answerFacts(head).signed ? 'upstream' : 'front')
      },
      onData: (chunk) => {
        lastReceivedAt = timers.monotonic()
        if (reply.data(chunk)) return
        exchange.pause()
        reply.onDrain(() => { exchange.resume() })
      },
      onComplete: () => {
        reply.end()
        finish({ type: 'answered' })
      },
      onFailed: (failure) => { onFail(failure) }
    })
    const finish = (outcome: ForwardOutcome): void => {
      isFinished = true
      deadlineTimer.cancel()
      silenceTimer.cancel()
      resolve(outcome)
    }
    const silenceTimer = timers.every(silenceThresholdMs, () => { void checkOwner() })
    const checkOwner = async (): Promise<void> => {
      const silentSince = lastReceivedAt
      if (timers.monotonic() - silentSince < silenceThresholdMs || await ports.peerProbe.isAlive(address)) return
      if (isFinished || lastReceivedAt !== silentSince) return
      exchange.cancel()
      onFail({ verdict: 'mayHaveRun', cause: 'cancelled', detail: 'the owner of the program no longer responds', reused: false })
    }
    const onFail = (failure: sendHttp.SendFailure): void => {
      if (failure.verdict === 'notRun') {
        finish({ type: 'unreachable', detail: failure.detail, ended: failure.cause === 'refused' })
        return
      }
      ports.decisions.record({ event: 'peerAnswerLost', request: req.attempt.id, peer: address, cause: failure.cause, detail: failure.detail })
      if (isRelaying) reply.abort()
      else reply.refuse({ type: 'answerLost', detail: 'the connection to the owner of the program was lost' })
      finish({ type: 'answered' })
    }
    const deadlineTimer = timers.after(remainingMs, () => {
      exchange.cancel()
      if (isRelaying) reply.abort()
      else reply.refuse({ type: 'timeout' })
      finish({ type: 'answered' })
    })
    reply.onGone(() => {
      exchange.cancel()
      finish({ type: 'answered' })
    })
  })
}
