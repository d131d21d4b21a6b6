/** Serves requests that belong to no turn chain; any front process can send them to an upstream without the owner of a program. */
import * as drainServer from '@eelgrasswind/drain-server'
import * as messageFraming from '@eelgrasswind/message-framing'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as answerStream from './answer-stream.js'
import * as dispatch from './dispatch.js'
import type * as heldAnswers from './held-answers.js'
import type * as inbound from './inbound.js'

/** Dependencies for serving calls. */
export interface CallPorts extends dispatch.DispatchPorts {
  readonly heldAnswers: heldAnswers.HeldAnswers
}

/** Serves a stream that is not retained and does not count towards a program's budget. */
export function serveStream (ports: dispatch.DispatchPorts, req: inbound.InboundRequest): void {
  const stream = new answerStream.AnswerStream(ports, req, { body: req.body, affinity: undefined }, true, {
    onComplete: () => { req.reply.end() }
  })
  stream.start()
}

/** Sends a call, buffers the whole answer and relays it; a truncated answer is not relayed, and is requested again where that is safe. */
export function serveCall (ports: CallPorts, req: inbound.InboundRequest): void {
  const { reply } = req
  const { timers } = ports
  let head: sendHttp.AnswerHead | undefined
  const held = ports.heldAnswers.hold()
  let bytes = new messageFraming.PooledByteList(ports.heldAnswers.pool)
  reply.onEnd(({ outcome }) => {
    held.release()
    if (outcome === 'whole') reply.onClosed(() => { bytes.release() })
    else bytes.release()
  })
  const dispatched = new dispatch.Dispatch(ports, req, { body: req.body, affinity: undefined, isBuffered: true }, {
    head: (answer) => {
      head = answer
      held.release()
      bytes.release()
      bytes = new messageFraming.PooledByteList(ports.heldAnswers.pool)
    },
    data: (chunk) => {
      drainServer.countChunk(chunk.length)
      if (!held.tryAdd(chunk.length)) return 'no memory is left to hold the answer'
      bytes.push(chunk)
      return undefined
    },
    end: () => {
      deadlineTimer.cancel()
      if (head !== undefined) reply.sendParts(head.status, ports.dialect.answerHeaders(head.rawHeaders), bytes.listParts())
    },
    fail: (failure) => {
      deadlineTimer.cancel()
      reply.refuse(dispatch.toRefusal(failure))
    }
  })
  const deadlineTimer = timers.after(req.deadlineAt - timers.monotonic(), () => {
    const { mayHaveRun: ran } = dispatched
    dispatched.cancel('deadline')
    ports.decisions.record({ event: 'timedOut', request: req.attempt.id, ran })
    reply.refuse({ type: 'timeout' })
  })
  reply.onGone(() => {
    deadlineTimer.cancel()
    dispatched.cancel('clientGone')
  })
  reply.setWork({
    mayHaveRun: () => dispatched.mayHaveRun,
    end: (refusal) => {
      deadlineTimer.cancel()
      dispatched.cancel('deadline')
      reply.refuse(refusal)
    }
  })
  dispatched.start()
}
