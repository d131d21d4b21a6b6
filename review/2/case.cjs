'use strict'
/**
 * A third of the engines of a plain service spoil a fiftieth of their answers for five seconds: one byte of the status
 * line is wrong. Clients on kept connections have requests at the sound engines meanwhile.
 */
const http = require('node:http')
const { runCase, createConfig, routeHost, sleep } = require('../stand-ins/site.cjs')
const { newId } = require('../stand-ins/client.cjs')

const soundEngines = 4
const spoilingEngines = 2
const spoilEvery = 50
const spoilMs = 5_500
const clients = 45
const workMs = 120
const playMs = 12_000
const deadlineMs = 4_000
const maxClosed = 3

/** The first digit of the status is wrong. */
function spoilStatus (answer) {
  return answer.replace('HTTP/1.1 200', 'HTTP/1.1 000')
}

/** Sends one request on a client's kept connection; resolves to how it ended. */
function send (agent, address, isOrder, id) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const req = http.request({ agent, host, port: Number(port), method: isOrder ? 'POST' : 'GET', path: isOrder ? '/order/2f' : '/status/2f', headers: { Host: routeHost, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, ...(isOrder ? { 'Content-Length': 5 } : {}) } })
    const timer = setTimeout(() => {
      req.destroy()
      resolve('left')
    }, deadlineMs)
    const finish = (end) => {
      clearTimeout(timer)
      resolve(end)
    }
    req.on('error', () => { finish(req.reusedSocket ? 'closed on a kept connection' : 'closed') })
    req.on('response', (res) => {
      res.resume()
      res.on('error', () => { finish('cut') })
      res.on('end', () => { finish(String(res.statusCode)) })
    })
    req.end(isOrder ? 'order' : undefined)
  })
}

runCase(__dirname, async (site) => {
  let spoilFrom = Infinity
  const sound = () => ({ delayMs: workMs, body: 'done' })
  const createSpoiling = () => {
    let answers = 0
    return () => {
      const sinceMs = Date.now() - spoilFrom
      answers += sinceMs >= 0 ? 1 : 0
      const isSpoilt = site.hasTrouble && sinceMs >= 0 && sinceMs < spoilMs && answers % spoilEvery === 0
      if (isSpoilt) site.note('an answer is spoilt')
      return { ...sound(), spoil: isSpoilt ? spoilStatus : undefined }
    }
  }
  const engines = [...Array.from({ length: soundEngines }, () => ({ service: 'app', plan: sound })), ...Array.from({ length: spoilingEngines }, () => ({ service: 'app', plan: createSpoiling() }))]
  await site.start({ fronts: 3, config: createConfig(), engines })
  const soundOnes = new Set(site.engines.slice(0, soundEngines))

  const results = []
  const endsAt = Date.now() + playMs
  spoilFrom = Date.now() + 3_000
  await Promise.all(Array.from({ length: clients }, async (_, client) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; Date.now() < endsAt; count += 1) {
      const id = newId()
      const front = site.fronts[client % site.fronts.length]
      const end = await send(agent, front.address, count % 2 === 0, id)
      results.push({ id, end, front, at: Date.now() })
      if (end.startsWith('closed')) await sleep(300)
    }
    agent.destroy()
  }))
  await sleep(500)

  const soundRuns = new Set([...soundOnes].flatMap(({ runs }) => runs.map(({ id }) => id)))
  const closed = results.filter(({ id, end }) => end === 'closed on a kept connection' && soundRuns.has(id))
  for (const { id, front } of closed) site.note(`request ${id} at ${front.name}: passed on to a sound engine, and its kept connection was closed without an answer`)
  const ends = new Map()
  for (const { end } of results) ends.set(end, (ends.get(end) ?? 0) + 1)
  site.note(`requests by end: ${JSON.stringify([...ends])}`)
  const ownEnds = site.fronts.reduce((sum, { starts }) => sum + starts - 1, 0)
  site.note(`${results.length} requests; ${closed.length} closed at sound engines; processes ended by themselves ${ownEnds} times`)
  return closed.length > maxClosed ? [`LOST: ${closed.length} requests from kept connections were passed on to sound engines and closed without an answer; processes ended by themselves ${ownEnds} times`] : []
})
