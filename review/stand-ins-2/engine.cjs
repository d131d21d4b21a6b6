'use strict'
/** Stand-in for a model engine: runs turns as event streams of fixed length. */
const http = require('node:http')

const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Starts an engine on a free loopback port. `events`: events of each answer, one each `eventMs`. */
async function startEngine (id, { service = 'engines', slots = 24, events = 4, eventMs = 5 } = {}) {
  /** Runs by request id: when each began, whether its answer was sent whole, and the size of its body. */
  const runs = new Map()
  let running = 0
  const server = http.createServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => { chunks.push(chunk) })
    req.on('error', () => {})
    res.on('error', () => {})
    req.on('end', () => { serve(req, res, Buffer.concat(chunks)) })
  })

  async function serve (req, res, body) {
    const requestId = String(req.headers['x-request-id'])
    if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== id) {
      res.writeHead(421, { 'X-Instance-Id': id, 'X-Request-Id': requestId })
      res.end()
      return
    }
    if (running >= slots) {
      res.writeHead(503, { 'X-Not-Executed': '1', 'X-Request-Id': requestId })
      res.end()
      return
    }
    running += 1
    const run = { at: Date.now(), bytes: body.length, answered: false, headers: req.headers, body }
    runs.set(requestId, [...runs.get(requestId) ?? [], run])
    res.on('close', () => { running -= 1 })
    res.on('finish', () => { run.answered = true })
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Request-Id': requestId, 'X-Response-Signature': `${id}.${requestId}` })
    for (let event = 1; event <= events; event += 1) {
      await sleep(eventMs)
      if (res.closed) return
      res.write(`id: ${event}\ndata: ${requestId}.${event}\n\n`)
    }
    res.end()
  }

  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${server.address().port}`
  return {
    id,
    address,
    runs,
    get running () { return running },
    entry: { service, address, zone: 'zone-a', version: 1, slots, state: 'ready', cold_remaining_ms: 0, sequence: 1 },
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}

module.exports = { startEngine }
