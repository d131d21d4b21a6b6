'use strict'
/** Stand-in for the platform's store, in memory, by the published protocol. Limits are those of the pages; no run is so long that records of the log expire. */
const http = require('node:http')

/** Limits that the settings of a process name under `platform`, and the total that the protocol names: calls a second, bytes and ms. */
const defaults = { parts: 8, writesPerS: 800, readsPerS: 2000, recordBytes: 262144, callBytes: 2097152, appendMs: 4, partMbPerS: 20, readMbPerS: 80, totalBytes: 400e6 }
const bytesPerMb = 1e6
const maxWaitingMs = 2000
const maxPageItems = 500
const maxPageBytes = 1e6
const rememberedAppends = 5
const rateWindowMs = 1000
/** A join counts as this part of a write. */
const joinWeight = 0.1
const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Calls of the last second, up to a bound. */
class CallRate {
  constructor (maxPerS) {
    this.maxPerS = maxPerS
    this.calls = []
    this.sum = 0
    this.refused = 0
  }

  accept (weight) {
    const now = performance.now()
    while (this.calls.length > 0 && this.calls[0].at < now - rateWindowMs) this.sum -= this.calls.shift().weight
    if (this.sum + weight > this.maxPerS) {
      this.refused += 1
      return false
    }
    this.calls.push({ at: now, weight })
    this.sum += weight
    return true
  }
}

class Partition {
  constructor () {
    this.records = []
    this.first = 0
    this.newest = new Map()
    this.epochs = new Map()
    this.busyUntil = 0
    this.waiters = new Set()
  }

  get end () {
    return this.first + this.records.length
  }
}

/** Members of one group, and who holds which partition. */
class Group {
  constructor (parts) {
    this.parts = parts
    this.members = new Map()
    this.holders = new Map()
    this.topics = []
    this.generation = 0
    this.dealtTo = ''
  }

  expire () {
    for (const [name, member] of this.members) if (member.expiresAt < performance.now()) this.members.delete(name)
    this.deal()
  }

  deal () {
    const names = [...this.members.keys()].sort().join()
    if (names === this.dealtTo) return
    this.dealtTo = names
    this.generation += 1
  }

  assignments () {
    const names = [...this.members.keys()].sort()
    const all = this.topics.flatMap((topic) => Array.from({ length: this.parts }, (_, part) => `${topic}/${part}`))
    return names.length === 0 ? [] : all.map((partition, index) => [partition, names[index % names.length]])
  }

  join ({ member, topics, ttl_ms: ttlMs, generation }) {
    this.topics = topics
    this.members.set(member, { generation, expiresAt: performance.now() + ttlMs })
    this.expire()
    const own = this.assignments().filter(([partition, name]) => name === member && this.isFree(partition, member)).map(([partition]) => partition)
    for (const partition of own) this.holders.set(partition, member)
    return { generation: this.generation, parts: own.map((partition) => [...toRow(partition), 0]) }
  }

  /** The holder before has joined with this generation, or is gone. */
  isFree (partition, member) {
    const holder = this.holders.get(partition)
    if (holder === undefined || holder === member) return true
    const former = this.members.get(holder)
    return former === undefined || former.generation >= this.generation
  }

  leave (member) {
    this.members.delete(member)
    this.expire()
  }

  owners () {
    this.expire()
    return this.assignments().flatMap(([partition]) => {
      const holder = this.holders.get(partition)
      return holder !== undefined && this.members.has(holder) ? [[...toRow(partition), holder, 0]] : []
    })
  }
}

function toRow (partition) {
  const slash = partition.lastIndexOf('/')
  return [partition.slice(0, slash), Number(partition.slice(slash + 1))]
}

/** Splits the body of an append; `undefined` if it is no list of records. */
function splitRecords (body) {
  const records = []
  let at = 0
  while (at < body.length) {
    if (at + 4 > body.length) return undefined
    const end = at + 4 + body.readUInt32BE(at)
    if (end > body.length) return undefined
    records.push(Buffer.from(body.subarray(at + 4, end)))
    at = end
  }
  return records
}

function encodeRecord (content) {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

function encodeKeyed (key, value) {
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
}

/** Starts a store on a free loopback port. `onRefused` is told of each append that is beyond a limit. */
async function startStore (overrides = {}) {
  const limits = { ...defaults, ...overrides }
  const partitions = new Map()
  const groups = new Map()
  const refused = []
  let storedBytes = 0
  let readsBusyUntil = 0
  const writes = new CallRate(limits.writesPerS)
  const reads = new CallRate(limits.readsPerS)

  function getPartition (topic, part) {
    const name = `${topic}/${part}`
    if (!partitions.has(name)) partitions.set(name, new Partition())
    return partitions.get(name)
  }

  function add (partition, topic, records) {
    for (const content of records) {
      partition.records.push(content)
      storedBytes += content.length
      if (topic.startsWith('keyed.')) applyKeyed(partition, content)
    }
    for (const wake of partition.waiters) wake()
  }

  function applyKeyed (partition, content) {
    const keyEnd = 1 + content[0]
    const key = content.subarray(1, keyEnd).toString()
    if (keyEnd === content.length) partition.newest.delete(key)
    else partition.newest.set(key, { value: content.subarray(keyEnd), offset: partition.end - 1 })
  }

  /** Why an append is beyond a limit of the pages; `undefined` if it is not. */
  function findExcess (records) {
    const bytes = records.reduce((sum, content) => sum + content.length, 0)
    if (records.some((content) => content.length > limits.recordBytes)) return { status: 413, why: 'record_bytes' }
    if (bytes > limits.callBytes) return { status: 413, why: 'call_bytes' }
    if (records.length > 0 && storedBytes + bytes > limits.totalBytes) return { status: 507, why: 'full' }
    return undefined
  }

  async function append (params, body) {
    const topic = params.get('topic')
    const records = splitRecords(body)
    if (records === undefined) return json(400, {})
    const excess = findExcess(records)
    if (excess !== undefined) {
      refused.push({ at: Date.now(), topic, part: params.get('part'), bytes: body.length, ...excess })
      return json(excess.status, { why: excess.why })
    }
    const partition = getPartition(topic, params.get('part'))
    const now = performance.now()
    if (partition.busyUntil - now > maxWaitingMs) return json(503, {})
    partition.busyUntil = Math.max(now, partition.busyUntil) + limits.appendMs + body.length / (limits.partMbPerS * bytesPerMb) * 1000
    await sleep(partition.busyUntil - now)
    return applyAppend(partition, topic, params, records)
  }

  function applyAppend (partition, topic, params, records) {
    if (params.has('at') && Number(params.get('at')) !== partition.end) return json(412, { end: partition.end })
    const producer = params.get('producer')
    if (producer === null) {
      add(partition, topic, records)
      return json(200, { offset: partition.end - records.length, end: partition.end })
    }
    const epoch = Number(params.get('epoch'))
    const sequence = Number(params.get('sequence'))
    const known = partition.epochs.get(producer)
    if (known !== undefined && epoch < known.epoch) return json(409, { why: 'fenced' })
    if (known === undefined || epoch > known.epoch) partition.epochs.set(producer, { epoch, next: undefined, answers: new Map() })
    const state = partition.epochs.get(producer)
    if (records.length === 0) return json(200, { offset: partition.end, end: partition.end })
    const repeated = state.answers.get(sequence)
    if (repeated !== undefined) return json(200, repeated)
    if (state.next !== undefined && sequence !== state.next) return json(409, { why: 'seq', expected: state.next })
    add(partition, topic, records)
    const answer = { offset: partition.end - records.length, end: partition.end }
    state.next = sequence + 1
    state.answers.set(sequence, answer)
    state.answers.delete(sequence - rememberedAppends)
    return json(200, answer)
  }

  async function read (params) {
    const partition = getPartition(params.get('topic'), params.get('part'))
    const from = Number(params.get('from'))
    const maxBytes = Number(params.get('max_kb') ?? 1024) * 1024
    const waitMs = Number(params.get('wait_ms') ?? 0)
    if (from < partition.first) return json(410, { first: partition.first })
    if (from >= partition.end && waitMs > 0) await waitForRecord(partition, waitMs)
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(partition.end), 0)
    head.writeBigUInt64BE(BigInt(partition.first), 8)
    const chunks = [head]
    let bytes = 0
    for (let at = from; at < partition.end; at += 1) {
      const record = encodeRecord(partition.records[at - partition.first])
      if (bytes > 0 && bytes + record.length > maxBytes) break
      chunks.push(record)
      bytes += record.length
    }
    return { status: 200, body: Buffer.concat(chunks) }
  }

  function waitForRecord (partition, waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        partition.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      partition.waiters.add(wake)
    })
  }

  function readNewest (params) {
    const partition = getPartition(params.get('topic'), params.get('part'))
    const after = params.get('after')
    const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after)
    const items = []
    let bytes = 0
    for (const key of keys) {
      const { value, offset } = partition.newest.get(key)
      if (items.length === maxPageItems || (bytes > 0 && bytes + value.length > maxPageBytes)) break
      items.push({ key, value: value.toString('base64'), offset })
      bytes += value.length
    }
    return json(200, { items, has_more: items.length < keys.length, end: partition.end })
  }

  /** All reads share the store's rate. */
  async function paceRead (answer) {
    const now = performance.now()
    readsBusyUntil = Math.max(now, readsBusyUntil) + answer.body.length / (limits.readMbPerS * bytesPerMb) * 1000
    await sleep(readsBusyUntil - now)
    return answer
  }

  function getGroup (name) {
    if (!groups.has(name)) groups.set(name, new Group(limits.parts))
    return groups.get(name)
  }

  function isAccepted (pathname) {
    switch (pathname) {
      case '/api/log-append':
      case '/api/log-leave': return writes.accept(1)
      case '/api/log-join': return writes.accept(joinWeight)
      default: return reads.accept(1)
    }
  }

  async function handle (req, body) {
    const { pathname, searchParams: params } = new URL(req.url, 'http://store')
    if (!isAccepted(pathname)) return json(429, {})
    switch (pathname) {
      case '/api/log-append': return append(params, body)
      case '/api/log-read': return paceRead(await read(params))
      case '/api/log-newest': return paceRead(readNewest(params))
      case '/api/log-join': {
        const call = JSON.parse(body.toString())
        return json(200, getGroup(call.group).join(call))
      }
      case '/api/log-leave': {
        const { group, member } = JSON.parse(body.toString())
        getGroup(group).leave(member)
        return json(200, {})
      }
      case '/api/log-owners': return json(200, getGroup(params.get('group')).owners())
      default: return json(404, {})
    }
  }

  const server = http.createServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => { chunks.push(chunk) })
    req.on('error', () => {})
    res.on('error', () => {})
    req.on('end', () => {
      handle(req, Buffer.concat(chunks)).then(({ status, body }) => {
        res.writeHead(status, { 'Content-Length': body.length })
        res.end(body)
      })
    })
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${server.address().port}`,
    parts: limits.parts,
    refused,
    get storedBytes () { return storedBytes },
    /** Calls beyond the rates. */
    get overRate () { return { writes: writes.refused, reads: reads.refused } },
    /** Newest values of a topic, for the record of a run. */
    countNewest (topic) {
      let bytes = 0
      let count = 0
      for (const [name, { newest }] of partitions) {
        if (!name.startsWith(`${topic}/`)) continue
        for (const { value } of newest.values()) bytes += value.length
        count += newest.size
      }
      return { count, bytes }
    },
    /** Writes a JSON record, as the operator or an engine does; `undefined` removes it. */
    put (topic, key, value) {
      add(getPartition(topic, 0), topic, [encodeKeyed(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)))])
    },
    close () {
      server.close()
      server.closeAllConnections()
    }
  }
}

function json (status, value) {
  return { status, body: Buffer.from(JSON.stringify(value)) }
}

module.exports = { startStore }
