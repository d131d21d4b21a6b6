'use strict'
/** A small deployment on loopback: the store, engines and services, and fronts that the deploy file's command starts as processes. */
const { spawn } = require('node:child_process')
const fs = require('node:fs')
const http = require('node:http')
const net = require('node:net')
const os = require('node:os')
const path = require('node:path')
const { Store } = require('./store.cjs')
const { Engine, sleep } = require('./engine.cjs')

const root = path.resolve(__dirname, '../..')
const storeParts = 8
const heartbeatMs = 1_200
const startTimeoutMs = 15_000
/** A process that ends is started again after this time, in ms. */
const restartMs = 500

/** Exits: the rule held, it was broken, or the case could not run. */
const exitCodes = { held: 0, broken: 1, notRun: 2 }

/** Fills in the deploy file's template with the fields of a machine, as the deployment page describes it. */
function renderTemplate (text, fields) {
  const find = (name) => name.split('.').reduce((value, part) => value?.[part], fields)
  return text
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name, inner) => find(name) ? inner : '')
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(find(name)) ?? '')
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(find(name) ?? ''))
}

/** The deploy file's command and template of the front. */
function readDeployFile () {
  const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
  return { run: /^run = "(.*)"$/m.exec(text)[1].split(' '), template: /^template = "(.*)"$/m.exec(text)[1] }
}

function findFreePort (host) {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => { resolve(port) })
    })
  })
}

class FrontProcess {
  constructor (site, index) {
    this.site = site
    this.name = `front-zone-a-${index + 1}`
    // Each front has a loopback address of its own, as each machine has: the port of the metrics is the same on all.
    this.ip = `${site.net}.${index + 11}`
    this.lines = []
    this.mayRestart = true
    this.starts = 0
  }

  async prepare () {
    const { site, ip } = this
    const [client, ready, peer] = [await findFreePort(ip), await findFreePort(ip), await findFreePort(ip)]
    this.address = `${ip}:${client}`
    this.readyAddress = `${ip}:${ready}`
    const fields = {
      node_name: this.name,
      zone: 'zone-a',
      ip,
      listen: { front: this.address, ready: this.readyAddress },
      port_range: [peer, peer],
      platform: { address: site.storeAddress, parts: storeParts },
      bounds: { grace_s: 8 }
    }
    this.settingsFile = path.join(site.folder, `${this.name}.jsonc`)
    fs.writeFileSync(this.settingsFile, renderTemplate(fs.readFileSync(path.join(root, site.deploy.template), 'utf8'), fields))
  }

  start () {
    const [command, ...args] = this.site.deploy.run
    this.starts += 1
    const child = spawn(command, args, { cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: this.site.folder, LANG: 'C.UTF-8', EELGRASSWIND_NODE_FILE: this.settingsFile } })
    this.child = child
    let rest = ''
    child.stdout.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      for (const line of lines) this.noteLine(line)
    })
    child.stderr.on('data', (chunk) => { this.noteLine(JSON.stringify({ stderr: String(chunk) })) })
    child.on('exit', (code, signal) => {
      this.site.note(`${this.name} ended: code ${code}, signal ${signal}`)
      if (this.mayRestart && !this.site.isClosing) setTimeout(() => { if (!this.site.isClosing) this.start() }, restartMs)
    })
  }

  noteLine (line) {
    fs.appendFileSync(path.join(this.site.folder, `${this.name}.log`), line + '\n')
    try {
      this.lines.push(JSON.parse(line))
    } catch {
      this.lines.push({ text: line })
    }
  }

  signal (name) {
    this.site.note(`${name} to ${this.name}`)
    this.child.kill(name)
  }

  isReady () {
    const [host, port] = this.readyAddress.split(':')
    return new Promise((resolve) => {
      const req = http.get({ agent: false, host, port, path: '/api/readyz', timeout: 500 }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('error', () => { resolve(false) })
      req.on('timeout', () => { req.destroy() })
    })
  }
}

class Site {
  constructor (caseFolder) {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'eelgrasswind-review-'))
    this.recordFile = path.join(caseFolder, 'record.txt')
    this.recordLines = []
    this.startedAt = Date.now()
    this.net = `127.${64 + Math.floor(Math.random() * 128)}.${1 + Math.floor(Math.random() * 254)}`
    this.hasTrouble = process.env.TROUBLE !== '0'
    this.fronts = []
    this.engines = []
    this.isClosing = false
    this.deploy = readDeployFile()
    this.store = new Store(storeParts)
  }

  note (text) {
    this.recordLines.push(`${((Date.now() - this.startedAt) / 1000).toFixed(3)} s  ${text}`)
  }

  /** Starts everything and waits until all fronts are ready and all shards have an owner. */
  async start ({ fronts, engines, config }) {
    this.storeAddress = await this.store.listen(`${this.net}.1`)
    for (const { service, plan } of engines) {
      const engine = new Engine(service, plan)
      await engine.listen(`${this.net}.${32 + this.engines.length}`)
      this.engines.push(engine)
    }
    let sequence = 0
    const beat = () => {
      sequence += 1
      for (const engine of this.engines) if (!engine.isGone) this.store.put('keyed.servers', engine.id, engine.describe(sequence))
    }
    beat()
    this.beatTimer = setInterval(beat, heartbeatMs)
    this.store.put('keyed.op', 'config', config)
    for (let index = 0; index < fronts; index += 1) this.fronts.push(new FrontProcess(this, index))
    for (const front of this.fronts) {
      await front.prepare()
      front.start()
    }
    await this.waitUntilReady()
  }

  async waitUntilReady (fronts = this.fronts) {
    const deadline = Date.now() + startTimeoutMs
    for (;;) {
      const ready = await Promise.all(fronts.map((front) => front.isReady()))
      const group = this.store.group('homes')
      group.expire()
      if (ready.every(Boolean) && group.holders.size === 2 * storeParts && group.members.size === this.fronts.filter((front) => front.mayRestart).length) break
      if (Date.now() > deadline) throw new Error('the fronts did not become ready')
      await sleep(50)
    }
    // The fronts learn of the owners within a second.
    await sleep(1_500)
  }

  async close () {
    this.isClosing = true
    clearInterval(this.beatTimer)
    for (const { child } of this.fronts) if (child?.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    for (const engine of this.engines) engine.close()
    this.store.close()
  }

  writeRecord (verdict) {
    this.note(verdict)
    for (const engine of this.engines) {
      for (const run of engine.runs) this.recordLines.push(`run at ${engine.id}: ${run.id} ${run.path}, ${((run.at - this.startedAt) / 1000).toFixed(3)} s, prompt of ${run.body.length} bytes, ${run.sent} events, ${run.isEnded ? 'ended' : 'broken off'}`)
    }
    fs.writeFileSync(this.recordFile, this.recordLines.join('\n') + '\n')
  }
}

/** Runs a case within the time limit, in ms; `play` resolves to a list of what broke the rule, which is empty if it held. */
function runCase (caseFolder, play, limitMs = 115_000) {
  const site = new Site(caseFolder)
  let isOver = false
  const finish = async (code, verdict) => {
    if (isOver) return
    isOver = true
    site.writeRecord(verdict)
    process.stdout.write(`${verdict}\n`)
    await site.close()
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(site.folder, { recursive: true, force: true })
    else process.stdout.write(`logs: ${site.folder}\n`)
    process.exit(code)
  }
  const timer = setTimeout(() => { finish(exitCodes.notRun, 'not run: out of time') }, limitMs)
  timer.unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(exitCodes.notRun, `not run: ${signal}`) })
  process.on('unhandledRejection', (err) => { finish(exitCodes.notRun, `not run: ${err.stack}`) })
  process.on('uncaughtException', (err) => { finish(exitCodes.notRun, `not run: ${err.stack}`) })
  site.note(`trouble: ${site.hasTrouble ? 'yes' : 'no'}`)
  play(site).then((breaks) => finish(breaks.length > 0 ? exitCodes.broken : exitCodes.held, breaks.length > 0 ? `broken: ${breaks.join('; ')}` : 'held'), (err) => finish(exitCodes.notRun, `not run: ${err.stack}`))
}

const routeHost = 'kits.example'

/** A configuration with the fields and figures of the protocol page's examples. */
function createConfig (version = 1, overrides = {}) {
  const turn = { name: 'r-turn', host: routeHost, path_prefix: '/turn/', kind: 'streaming', timeout_ms: 3_000, target_latency_ms: 250, priority: 0, service: 'engines', max_attempts: 2, retain: true, retain_s: 60.0, sticky: true, resumable: false, target_gap_ms: 250 }
  const status = { name: 'r-status', host: routeHost, path_prefix: '/status/', kind: 'idempotent', timeout_ms: 2_000, target_latency_ms: 400, priority: 2, service: 'app', max_attempts: 3 }
  const order = { name: 'r-order', host: routeHost, path_prefix: '/order/', kind: 'non_idempotent', timeout_ms: 4_000, target_latency_ms: 800, priority: 2, service: 'app', max_attempts: 3 }
  return {
    version,
    routes: [turn, status, order],
    services: [
      { name: 'engines', health_path: '/healthz', max_conns: 200, protocol: 'h1', tls: false, engine: { slots: 24, kv_capacity: 397_762, kv_token_bytes: 18_432, link_mbps: 370_000, moves: true, backups: true, tokens_per_event: 5, most: 12, pin_ms: 4_000, hold_ms: 2_000, handle_s: 5, models: [{ name: 'm' }] } },
      { name: 'app', health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    ...overrides
  }
}

module.exports = { runCase, createConfig, routeHost, sleep }
