'use strict'
/** A small deployment: a store, two model engines, one route of turns that are kept, and fronts. */
const { startStore } = require('./store.cjs')
const { startEngine } = require('./engine.cjs')
const { startFronts } = require('./fronts.cjs')
const { send, turnHeaders, sleep } = require('./client.cjs')

const engineSlots = 100
const path = '/roster/a'
/** Time for the shards to be dealt and opened once all fronts are ready, in ms. */
const settleMs = 3000
const memorySampleMs = 50
/** A refused client comes back if it is told to within this time, in ms: a third of its deadline. */
const maxRetryAfterMs = 1000

/** The configuration, as the operator writes it; `routeFields` replaces fields of its route. */
function createConfig (routeFields) {
  const route = { name: 'roster', host: 'site.example', path_prefix: '/roster/', kind: 'streaming', timeout_ms: 3000, target_latency_ms: 200, target_gap_ms: 250, priority: 0, service: 'engines', max_attempts: 2, retain: true, retain_s: 60, sticky: true, resumable: false }
  return {
    version: 7,
    routes: [{ ...route, ...routeFields }],
    services: [{ name: 'engines', health_path: '/healthz', max_conns: 400, engine: { slots: engineSlots, kv_capacity: 292587, tokens_per_event: 5, models: [{ name: 'm' }] } }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  }
}

/** Starts all of it; what ends it is added to `cleanUps`. */
async function startSite ({ dir, cleanUps }, { machines, memoryMb = 210, routeFields = {} }) {
  const store = await startStore()
  cleanUps.push(() => { store.close() })
  const engines = [await startEngine('i-1', { slots: engineSlots }), await startEngine('i-2', { slots: engineSlots })]
  for (const engine of engines) cleanUps.push(() => { engine.close() })
  store.put('keyed.op', 'config', createConfig(routeFields))
  for (const engine of engines) store.put('keyed.servers', engine.id, engine.entry)
  const fronts = await startFronts(machines, { dir, storeAddress: store.address, storeParts: store.parts, extra: { memoryMb } })
  for (const front of fronts) cleanUps.push(() => front.end())
  await sleep(settleMs)
  return { store, engines, fronts }
}

/** Kills a process that exceeds its memory, as the platform does. Returns the peaks by name, in MB. */
function limitMemory (fronts, memoryMb, { record, cleanUps }) {
  const peaks = new Map()
  const timer = setInterval(() => {
    for (const front of fronts) {
      const mb = front.residentMb
      if (mb === undefined) continue
      peaks.set(front.name, Math.max(peaks.get(front.name) ?? 0, mb))
      if (mb <= memoryMb || front.child.endReason !== undefined) continue
      record.line(`${front.name} uses ${mb.toFixed(0)} MB: killed`)
      front.child.endReason = 'memory'
      front.signal('SIGKILL')
    }
  }, memorySampleMs)
  cleanUps.push(() => { clearInterval(timer) })
  return peaks
}

/** Clients of a site. Each attempt goes to the next front. */
class Clients {
  /** `options`: `deadlineMs`, `waitMs` and `gapMs` of each attempt; `starts` of a turn, which the pages bound by three; `onAnswer` is told of each attempt. */
  constructor ({ fronts, engines }, options = {}) {
    this.fronts = fronts
    this.engines = engines
    this.options = { deadlineMs: 3000, waitMs: 3500, gapMs: 2000, starts: 3, onAnswer: () => {}, ...options }
    this.answers = []
    this.sent = 0
  }

  /** One attempt at a turn. */
  async attempt (program, previous, body, fronts = this.fronts) {
    this.sent += 1
    const id = `${program}-${this.sent}`
    const front = fronts[this.sent % fronts.length]
    const { deadlineMs, waitMs, gapMs, onAnswer } = this.options
    const sentAt = Date.now()
    const answer = await send(front.clientPort, { path, headers: turnHeaders({ id, program, previous, budget: 100000, deadlineMs }), body, waitMs, gapMs })
    const entry = { id, program, front: front.name, bytes: body.length, sentAt, ...answer, isServed: answer.status === 200 && answer.end === 'whole', hasRun: this.engines.some(({ runs }) => runs.has(id)) }
    this.answers.push(entry)
    onAnswer(entry)
    return entry
  }

  /** A turn with the repeats of the pages: one more attempt after a promise, and further ones from its start. Resolves with its id; `undefined` if it has failed. */
  async runTurn (program, previous, body) {
    for (let start = 0; start < this.options.starts; start += 1) {
      let answer = await this.attempt(program, previous, body)
      const retryAfterMs = Number(answer.headers['retry-after'] ?? NaN) * 1000
      if (answer.status === 503 && retryAfterMs <= maxRetryAfterMs) {
        await sleep(retryAfterMs)
        answer = await this.attempt(program, previous, body)
      }
      if (answer.isServed) return answer.id
      if ([400, 401, 402, 403, 404, 413].includes(answer.status)) return undefined
      await sleep(100 + Math.random() * 300)
    }
    return undefined
  }
}

function countServed (answers) {
  return answers.filter(({ isServed }) => isServed).length
}

/** A line of the record on one attempt. */
function describeAnswer ({ id, front, bytes, status, end, tookMs, hasRun }) {
  return `${id} at ${front}, ${bytes} bytes: ${status} ${end} after ${tookMs} ms, ${hasRun ? 'has run' : 'has not run'}`
}

module.exports = { startSite, limitMemory, Clients, countServed, describeAnswer }
