import * as events from 'node:events'
import type * as http from 'node:http'
import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as types from '@eelgrasswind/types'
import type * as checkHead from './check-head.js'
import * as inbound from './inbound.js'
import * as limitGate from './limit-gate.js'

const account = 'coaches' as types.AccountId

/** A response that goes nowhere. */
class NullResponse extends events.EventEmitter {
  headersSent = false
  statusCode = 200

  writeHead (status: number): this {
    this.statusCode = status
    this.headersSent = true
    return this
  }

  flushHeaders (): void {}
  write (): boolean { return true }
  end (): void {}
  destroy (): void {}
}

/** Admits a request, lets `answer` end its reply, and returns how many requests were taken back. */
async function countRefunds (kind: checkHead.CheckedHead['kind'], answer: (reply: inbound.Reply) => void): Promise<number> {
  let refunds = 0
  const ports: limitGate.LimitGatePorts = {
    limits: { acquire: () => ({ type: 'admitted', term: 1 }), refund: () => { refunds += 1 } },
    decisions: decisionLog.createSilentDecisionLog()
  }
  const reply = new inbound.Reply(new NullResponse() as unknown as http.ServerResponse, (err) => { throw err })
  const head = { attempt: { id: 'r1' }, caller: { type: 'account', account }, kind, route: { name: 'roster' }, version: 1 } as unknown as checkHead.CheckedHead
  await limitGate.enforceAccountLimit(ports, head, reply, Infinity)
  answer(reply)
  return refunds
}

tap.test('a request that this process refuses is not counted', async (t) => {
  t.equal(await countRefunds('turn', (reply) => { reply.refuse({ type: 'overBudget' }) }), 1)
  t.equal(await countRefunds('call', (reply) => { reply.refuse({ type: 'upstreamsFull', retryAfterMs: 10 }) }), 1)
})

tap.test('a turn that its owner refuses at another process is not counted', async (t) => {
  const refuseAtOwner = (reply: inbound.Reply): void => {
    reply.head(503, [], 'front')
    reply.end()
  }
  t.equal(await countRefunds('turn', refuseAtOwner), 1)
})

// Guards against more requests than the limit while upstreams that ran a turn answer it with a status that front processes use for refusals.
tap.test('a request that an upstream answered stays counted, whatever the status', async (t) => {
  for (const status of [200, 404, 429, 500, 503]) {
    const answerByUpstream = (reply: inbound.Reply): void => {
      reply.head(status, [], 'upstream')
      reply.end()
    }
    t.equal(await countRefunds('turn', answerByUpstream), 0, `turn, ${status}`)
    t.equal(await countRefunds('call', (reply) => { reply.send(status, [], Buffer.from('')) }), 0, `call, ${status}`)
  }
})

tap.test('a request that may have run stays counted', async (t) => {
  t.equal(await countRefunds('turn', (reply) => { reply.refuse({ type: 'answerLost', detail: 'lost' }) }), 0)
  t.equal(await countRefunds('turn', (reply) => { reply.refuse({ type: 'timeout' }) }), 0)
})
