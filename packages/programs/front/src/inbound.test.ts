import * as events from 'node:events'
import type * as http from 'node:http'
import tap from 'tap'
import * as inbound from './inbound.js'

/** A response whose first heads can't be written. */
class FailingResponse extends events.EventEmitter {
  readonly written: unknown[] = []
  headersSent = false
  statusCode = 0
  constructor (private failuresLeft: number) { super() }

  writeHead (status: number): void {
    if (this.failuresLeft > 0) {
      this.failuresLeft -= 1
      throw new RangeError(`status ${status}`)
    }
    this.headersSent = true
    this.statusCode = status
    this.written.push(status)
  }

  flushHeaders (): void {}

  write (chunk: Uint8Array): boolean {
    this.written.push(chunk)
    return true
  }

  end (): void {
    this.written.push('end')
  }

  destroy (): void {
    this.written.push('destroyed')
  }
}

function createReply (failures: number) {
  const res = new FailingResponse(failures)
  const errors: unknown[] = []
  const log: string[] = []
  const reply = new inbound.Reply(res as unknown as http.ServerResponse, (err) => { errors.push(err) })
  reply.onEnd(({ outcome, reason }) => { log.push(`${outcome} ${reason ?? ''}`) })
  reply.onGone(() => { log.push('gone') })
  return { reply, written: res.written, errors, log }
}

// Guards against a request without an answer, and an upstream that works on, because the head of an answer can't be written.
tap.test('an answer whose head can not be written is replaced by a refusal, and its sender is cancelled', (t) => {
  const whole = createReply(1)
  whole.reply.send(200, [], Buffer.from('x'))
  const streamed = createReply(1)
  streamed.reply.head(200, [], 'upstream')
  t.ok(streamed.reply.data(Buffer.from('x')))
  streamed.reply.end()
  for (const { written, errors, log } of [whole, streamed]) {
    t.same(written, [502, 'end'])
    t.match(errors, [{ message: 'status 200' }])
    t.same(log, ['refused answerLost', 'gone'])
  }
  t.end()
})

tap.test('a request that fails by a bug is answered, or aborted within its answer', (t) => {
  const unanswered = createReply(0)
  unanswered.reply.fail()
  t.same(unanswered.written, [502, 'end'])
  t.same(unanswered.log, ['refused answerLost', 'gone'])
  const streamed = createReply(0)
  streamed.reply.head(200, [], 'upstream')
  streamed.reply.fail()
  t.same(streamed.written, [200, 'destroyed'])
  t.same(streamed.log, ['brokenOff ', 'gone'])
  t.end()
})
