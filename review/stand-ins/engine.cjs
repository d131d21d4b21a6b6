'use strict'
/** Stand-in of a model engine or a plain service: runs a request only if it names this engine, streams numbered events and signs its answers. */
const http = require('node:http')

let engineCount = 0

class Engine {
  /** `plan`: returns for a request how many events its stream has and the pause before each, in ms; or the body and the delay of a plain answer, and what spoils its bytes. */
  constructor (service, plan) {
    engineCount += 1
    this.id = `i-${process.pid.toString(16)}-${engineCount}`
    this.service = service
    this.plan = plan
    this.runs = []
    this.server = http.createServer((req, res) => { this.handle(req, res) })
    this.server.keepAliveTimeout = 6_000
  }

  async listen (host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  /** The entry of the engine in the store. */
  describe (sequence) {
    return { service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: 24, state: 'ready', cold_remaining_ms: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], sequence }
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  handle (req, res) {
    const chunks = []
    req.on('data', (chunk) => { chunks.push(chunk) })
    req.on('end', () => { this.run(req, res, Buffer.concat(chunks)) })
  }

  async run (req, res, body) {
    const id = req.headers['x-request-id']
    if (id === undefined) return end(res, 400, { 'X-Not-Executed': '1' })
    if (req.headers['x-expect-instance'] !== this.id) return end(res, 421, { 'X-Instance-Id': this.id })
    const run = { at: Date.now(), id, path: req.url, body, engine: this.id, sent: 0, isEnded: false }
    this.runs.push(run)
    const plan = this.plan(run)
    const headers = { 'X-Request-Id': id, 'X-Response-Signature': `${this.id}.${this.runs.length}` }
    if (plan.events === undefined) {
      await sleep(plan.delayMs)
      run.isEnded = true
      if (plan.spoil !== undefined) {
        const head = ['HTTP/1.1 200 OK', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), `Content-Length: ${plan.body.length}`, '', plan.body]
        req.socket.write(plan.spoil(head.join('\r\n')))
        return
      }
      return end(res, 200, headers, plan.body)
    }
    const deadlineAt = Date.now() + Number(req.headers['x-deadline-ms'] ?? 60_000)
    for (let event = 1; event <= plan.events; event += 1) {
      await sleep(plan.eventMs)
      if (res.destroyed) return
      if (Date.now() > deadlineAt) return res.headersSent ? res.destroy() : end(res, 504, headers)
      if (!res.headersSent) res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
      res.write(`id: ${event}\ndata: ${id}.${event}\n\n`)
      run.sent = event
    }
    run.isEnded = true
    res.end()
  }
}

function end (res, status, headers, body = '') {
  if (res.destroyed) return
  res.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(body) })
  res.end(body)
}

function sleep (ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

module.exports = { Engine, sleep }
