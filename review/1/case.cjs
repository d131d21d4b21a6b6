'use strict'
/** Clients send orders that take some seconds on kept connections, one after the other. One front gets SIGTERM. */
const http = require('node:http')
const { runCase, createConfig, routeHost, sleep } = require('../stand-ins/site.cjs')
const { newId } = require('../stand-ins/client.cjs')

const clients = 72
const engines = 20
const minWorkMs = 3_500
const maxWorkMs = 5_400
/** As `roster-export` on the sheet. */
const timeoutMs = 6_000
const graceMs = 8_000
const playMs = 22_000

/** Sends one order on a client's kept connection; resolves to when it was sent, how it ended, and when. */
function sendOrder (agent, address, id) {
  const [host, port] = address.split(':')
  const at = Date.now()
  let isLast = true
  return new Promise((resolve) => {
    const finish = (end) => {
      clearTimeout(timer)
      resolve({ id, at, end, endedAt: Date.now(), isReused: req.reusedSocket, isLast })
    }
    const req = http.request({ agent, host, port: Number(port), method: 'POST', path: '/order/2f', headers: { Host: routeHost, 'X-Request-Id': id, 'X-Deadline-Ms': timeoutMs, 'Content-Length': 5 } })
    const timer = setTimeout(() => {
      finish('left at its deadline')
      req.destroy()
    }, timeoutMs)
    req.on('error', (err) => { finish(`closed: ${err.code}`) })
    req.on('response', (res) => {
      isLast = res.headers.connection === 'close'
      res.resume()
      res.on('error', () => { finish('cut in the answer') })
      res.on('end', () => { finish(String(res.statusCode)) })
    })
    req.end('order')
  })
}

runCase(__dirname, async (site) => {
  const config = createConfig()
  Object.assign(config.routes.find(({ name }) => name === 'r-order'), { timeout_ms: timeoutMs, target_latency_ms: 1_200, max_attempts: 1 })
  const plan = () => ({ delayMs: minWorkMs + Math.random() * (maxWorkMs - minWorkMs), body: 'done' })
  await site.start({ fronts: 3, config, engines: Array.from({ length: engines }, () => ({ service: 'app', plan })) })
  const [stopped] = site.fronts
  const endsAt = Date.now() + playMs
  const results = []
  let stoppedAt = Infinity
  const play = Promise.all(Array.from({ length: clients }, async (_, client) => {
    await sleep(client * 50)
    let front = client % site.fronts.length
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    while (Date.now() < endsAt) {
      const { address } = site.fronts[front]
      const result = await sendOrder(agent, address, newId())
      results.push({ ...result, address })
      site.note(`order ${result.id} at ${address} sent ${((result.at - stoppedAt) / 1000).toFixed(2)} s after SIGTERM, on ${result.isReused ? 'a kept' : 'a new'} connection: ${result.end} after ${result.endedAt - result.at} ms`)
      // The balancer gives a stopping front no new connections; open ones stay.
      if (result.isLast) front = (front + 1) % site.fronts.length
      if (result.end !== '200') await sleep(1_000)
    }
    agent.destroy()
  }))
  await sleep(7_000)
  if (site.hasTrouble) {
    stoppedAt = Date.now()
    stopped.signal('SIGTERM')
    const { child } = stopped
    setTimeout(() => { if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL') }, graceMs)
  }
  await play
  const runs = new Set(site.engines.flatMap((engine) => engine.runs.map(({ id }) => id)))
  const cut = results.filter(({ id, address, at, end, endedAt }) => address === stopped.address && runs.has(id) && end.startsWith('closed') && at > stoppedAt + 3_000 && endedAt < stoppedAt + graceMs + 1_000)
  return cut.map(({ id, at, endedAt }) => `LOST: order ${id}, sent ${at - stoppedAt} ms after SIGTERM and passed on to an engine, was closed without an answer ${endedAt - stoppedAt} ms after it`)
})
