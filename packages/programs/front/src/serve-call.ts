/** Serves requests that belong to no chain of turns: any front process sends them to an upstream by itself. */
import type * as sendHttp from '@eelgrasswind/send-http'
import * as answerStream from './answer-stream.js'
import * as dispatch from './dispatch.js'
import type * as inbound from './inbound.js'

/** Serves a stream that belongs to no program with a budget, and of which nothing is kept. */
export function serveStream (ports: dispatch.DispatchPorts, req: inbound.InboundRequest): void {
  const stream = new answerStream.AnswerStream(ports, req, { body: req.body, affinity: undefined }, true, {
    onComplete: () => { req.reply.end() }
  })
  stream.start()
}

/** Calls its service, reads the whole answer and passes it on; an answer that breaks off reaches no client. */
export function serveCall (ports: dispatch.DispatchPorts, req: inbound.InboundRequest): void {
  const { reply } = req
  const { timers } = ports
  let head: sendHttp.Head | undefined
  const chunks: Buffer[] = []
  const sent = new dispatch.Dispatch(ports, req, { body: req.body, affinity: undefined }, {
    head: (answer) => { head = answer },
    data: (chunk) => { chunks.push(chunk) },
    end: () => {
      limit.cancel()
      if (head !== undefined) reply.send(head.status, ports.dialect.answerHeaders(head.rawHeaders), Buffer.concat(chunks))
    },
    fail: (failure) => {
      limit.cancel()
      reply.refuse(dispatch.toRefusal(failure))
    }
  })
  const limit = timers.after(req.deadlineAt - timers.monotonic(), () => {
    const { mayHaveRun: ran } = sent
    sent.cancel()
    ports.decisions.note({ event: 'timedOut', request: req.attempt.id, ran })
    reply.refuse({ type: 'timeout' })
  })
  reply.onGone(() => {
    limit.cancel()
    sent.cancel()
  })
  sent.start()
}
