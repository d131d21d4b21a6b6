'use strict'
/**
 * Stand-in of the platform's store: the keyed log with fenced appends and the groups with leases, over HTTP, as the
 * protocol page describes them. Limits that the page leaves without a status are answered 413.
 */
const http = require('node:http')

const appendMs = 4
const rememberedAppends = 5
const pageItems = 500
const pageBytes = 1_000_000
const recordBytes = 262_144
const callBytes = 2_097_152
const minTtlMs = 1_000
const appendQueueMs = 2_000

class Partition {
  constructor (isKeyed) {
    this.isKeyed = isKeyed
    this.records = []
    this.newest = new Map()
    this.producers = new Map()
    this.waiters = new Set()
    this.busyUntil = 0
  }

  get end () {
    return this.records.length
  }

  add (records) {
    const offset = this.end
    for (const record of records) {
      if (this.isKeyed) this.addKeyed(record, this.end)
      this.records.push(record)
    }
    for (const wake of this.waiters) wake()
    return { offset, end: this.end }
  }

  addKeyed (record, offset) {
    const keyEnd = 1 + record[0]
    const key = record.subarray(1, keyEnd).toString('utf8')
    if (keyEnd === record.length) this.newest.delete(key)
    else this.newest.set(key, { key, value: record.subarray(keyEnd), offset })
  }
}

function splitRecords (body) {
  const records = []
  for (let at = 0; at < body.length;) {
    if (at + 4 > body.length) return undefined
    const end = at + 4 + body.readUInt32BE(at)
    if (end > body.length) return undefined
    records.push(body.subarray(at + 4, end))
    at = end
  }
  return records
}

class Group {
  constructor (parts) {
    this.parts = parts
    this.generation = 0
    this.members = new Map()
    this.holders = new Map()
    this.targets = new Map()
    this.topics = []
  }

  expire () {
    const now = performance.now()
    let changed = false
    for (const [name, member] of this.members) {
      if (member.expiresAt > now) continue
      this.members.delete(name)
      changed = true
    }
    if (changed) this.deal()
  }

  deal () {
    this.generation += 1
    this.targets.clear()
    const names = [...this.members.keys()].sort()
    const all = this.topics.flatMap((topic) => Array.from({ length: this.parts }, (_, part) => `${topic}/${part}`))
    if (names.length > 0) all.forEach((partition, index) => this.targets.set(partition, names[index % names.length]))
    for (const [partition, holder] of this.holders) {
      if (!this.members.has(holder)) this.holders.delete(partition)
    }
  }

  join ({ member, topics, ttl_ms: ttlMs, generation }) {
    this.expire()
    const isNew = !this.members.has(member)
    this.topics = topics
    this.members.set(member, { expiresAt: performance.now() + Math.max(minTtlMs, ttlMs) })
    if (isNew) this.deal()
    if (generation >= this.generation) {
      for (const [partition, holder] of this.holders) {
        if (holder === member && this.targets.get(partition) !== member) this.holders.delete(partition)
      }
    }
    const parts = []
    for (const [partition, target] of this.targets) {
      if (target !== member) continue
      const holder = this.holders.get(partition)
      if (holder !== undefined && holder !== member) continue
      this.holders.set(partition, member)
      parts.push(toRow(partition, 0))
    }
    return { generation: this.generation, ttl_ms: ttlMs, parts }
  }

  leave ({ member }) {
    this.expire()
    if (this.members.delete(member)) this.deal()
    return {}
  }

  owners () {
    this.expire()
    return { parts: [...this.holders].map(([partition, member]) => [...toRow(partition), member, 0]) }
  }
}

function toRow (partition, ...rest) {
  const slash = partition.lastIndexOf('/')
  return [partition.slice(0, slash), Number(partition.slice(slash + 1)), ...rest]
}

class Store {
  constructor (parts) {
    this.parts = parts
    this.partitions = new Map()
    this.groups = new Map()
    /** Called with every call and its answer's status, for the record of a case. */
    this.onCall = undefined
    this.server = http.createServer((req, res) => { this.handle(req, res) })
    this.server.keepAliveTimeout = 60_000
  }

  listen (host) {
    return new Promise((resolve) => this.server.listen(0, host, () => { resolve(`${host}:${this.server.address().port}`) }))
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a JSON record, as the operator or an engine does; without a value the key is dropped. */
  put (topic, key, value) {
    const keyBytes = Buffer.from(key)
    const valueBytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this.get(topic, 0).add([Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])])
  }

  get (topic, part) {
    const name = `${topic}/${part}`
    let partition = this.partitions.get(name)
    if (partition === undefined) this.partitions.set(name, partition = new Partition(topic.startsWith('keyed.')))
    return partition
  }

  group (name) {
    let group = this.groups.get(name)
    if (group === undefined) this.groups.set(name, group = new Group(this.parts))
    return group
  }

  handle (req, res) {
    const chunks = []
    req.on('data', (chunk) => { chunks.push(chunk) })
    req.on('end', () => {
      const url = new URL(req.url, 'http://store')
      this.answer(req.method, url, Buffer.concat(chunks)).then(({ status, body }) => {
        this.onCall?.(url, status)
        if (res.destroyed) return
        const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
        res.writeHead(status, { 'Content-Type': Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json', 'Content-Length': bytes.length })
        res.end(bytes)
      })
    })
  }

  async answer (method, url, body) {
    const query = url.searchParams
    const partition = () => this.get(query.get('topic'), Number(query.get('part')))
    switch (`${method} ${url.pathname}`) {
      case 'POST /api/log-append': return this.append(partition(), query, body)
      case 'GET /api/log-newest': return { status: 200, body: this.newest(partition(), query.get('after')) }
      case 'GET /api/log-read': return this.read(partition(), query)
      case 'POST /api/log-join': return { status: 200, body: this.group(JSON.parse(body).group).join(JSON.parse(body)) }
      case 'POST /api/log-leave': return { status: 200, body: this.group(JSON.parse(body).group).leave(JSON.parse(body)) }
      case 'GET /api/log-owners': return { status: 200, body: this.group(query.get('group')).owners() }
      default: return { status: 404, body: {} }
    }
  }

  async append (partition, query, body) {
    const topic = query.get('topic')
    if (topic === 'keyed.op' || topic === 'keyed.servers') return { status: 403, body: {} }
    const now = performance.now()
    if (partition.busyUntil - now > appendQueueMs) return { status: 503, body: {} }
    partition.busyUntil = Math.max(now, partition.busyUntil) + appendMs
    await new Promise((resolve) => setTimeout(resolve, partition.busyUntil - now))
    const records = splitRecords(body)
    if (records === undefined) return { status: 400, body: {} }
    if (records.some((record) => record.length > recordBytes) || records.reduce((sum, record) => sum + record.length, 0) > callBytes) return { status: 413, body: {} }
    if (query.get('producer') === null) return { status: 200, body: partition.add(records) }
    return this.appendFenced(partition, query, records)
  }

  appendFenced (partition, query, records) {
    const name = query.get('producer')
    const epoch = Number(query.get('epoch'))
    const sequence = Number(query.get('sequence'))
    let producer = partition.producers.get(name)
    if (producer !== undefined && epoch < producer.epoch) return { status: 409, body: { why: 'fenced' } }
    if (producer === undefined || epoch > producer.epoch) partition.producers.set(name, producer = { epoch, sequence: undefined, answers: new Map() })
    if (records.length === 0) return { status: 200, body: { offset: partition.end, end: partition.end } }
    const earlier = producer.answers.get(sequence)
    if (earlier !== undefined) return { status: 200, body: earlier }
    if (producer.sequence !== undefined && sequence !== producer.sequence + 1) return { status: 409, body: { why: 'seq', sequence: producer.sequence + 1 } }
    const answer = partition.add(records)
    producer.sequence = sequence
    producer.answers.set(sequence, answer)
    producer.answers.delete(sequence - rememberedAppends)
    return { status: 200, body: answer }
  }

  newest (partition, after) {
    const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after)
    const items = []
    let bytes = 0
    for (const key of keys) {
      const { value, offset } = partition.newest.get(key)
      if (items.length >= pageItems || (items.length > 0 && bytes + value.length > pageBytes)) break
      bytes += value.length
      items.push({ key, value: value.toString('base64'), offset })
    }
    return { items, has_more: items.length < keys.length, end: partition.end }
  }

  async read (partition, query) {
    const from = Number(query.get('from'))
    const waitMs = Number(query.get('wait_ms') ?? 0)
    if (from >= partition.end && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer)
          partition.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, waitMs)
        partition.waiters.add(wake)
      })
    }
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(partition.end), 0)
    const limit = Number(query.get('max_kb') ?? 1_024) * 1_024
    const chunks = [head]
    let bytes = 0
    for (const record of partition.records.slice(from)) {
      if (bytes > 0 && bytes + record.length > limit) break
      bytes += record.length
      const length = Buffer.alloc(4)
      length.writeUInt32BE(record.length, 0)
      chunks.push(length, record)
    }
    return { status: 200, body: Buffer.concat(chunks) }
  }
}

module.exports = { Store }
