'use strict'
/** Runs fronts with the command of the deploy file, with settings as its template renders them. */
const childProcess = require('node:child_process')
const fs = require('node:fs')
const http = require('node:http')
const net = require('node:net')
const path = require('node:path')

const repository = path.join(__dirname, '..', '..')
/** The program and its arguments, as the deploy file names them. */
const command = /^run = "([^"]+)"$/m.exec(fs.readFileSync(path.join(repository, 'deploy', 'system.toml'), 'utf8'))[1].split(' ')
const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Free loopback ports, all different. */
async function freePorts (count) {
  const servers = Array.from({ length: count }, () => net.createServer())
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}

/** One front as a child process. It is started again after `restartMs` when it ends, unless it was told to. */
class Front {
  constructor (name, dir, settings) {
    this.name = name
    this.settings = settings
    this.clientPort = Number(settings.clientAddress.split(':')[1])
    this.readyPort = Number(settings.readyAddress.split(':')[1])
    this.file = path.join(dir, `${name}.jsonc`)
    this.logFile = path.join(dir, `${name}.log`)
    this.restartMs = 300
    this.isWanted = false
    this.ends = []
    fs.writeFileSync(this.file, JSON.stringify(settings))
  }

  start () {
    this.isWanted = true
    const log = fs.openSync(this.logFile, 'a')
    const child = childProcess.spawn(command[0], command.slice(1), { cwd: repository, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', EELGRASSWIND_NODE_FILE: this.file } })
    fs.closeSync(log)
    this.child = child
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (this.child === child) this.child = undefined
        if (this.isWanted) this.ends.push({ at: Date.now(), how: signal ?? code, why: child.endReason ?? 'by itself' })
        resolve()
        setTimeout(() => { if (this.isWanted && this.child === undefined) this.start() }, this.restartMs)
      })
    })
  }

  /** Resident memory of the process in MB; `undefined` if it does not run. */
  get residentMb () {
    const { child } = this
    if (child === undefined) return undefined
    try {
      const match = /^VmRSS:\s*(\d+) kB$/m.exec(fs.readFileSync(`/proc/${child.pid}/status`, 'utf8'))
      return match === null ? undefined : Number(match[1]) / 1000
    } catch {
      return undefined
    }
  }

  signal (name) {
    this.child?.kill(name)
  }

  /** Ends the process for good. */
  async end (signal = 'SIGKILL') {
    this.isWanted = false
    this.child?.kill(signal)
    await this.exited
  }

  isReady () {
    return new Promise((resolve) => {
      const req = http.get({ host: '127.0.0.1', port: this.readyPort, path: '/api/readyz', agent: false, timeout: 500 }, (res) => {
        res.resume()
        resolve(res.statusCode === 200)
      })
      req.on('timeout', () => { req.destroy() })
      req.on('error', () => { resolve(false) })
    })
  }
}

/** Starts fronts, and resolves once all of them are ready. */
async function startFronts (count, { dir, storeAddress, storeParts, extra = {} }) {
  const ports = await freePorts(4 * count)
  const fronts = Array.from({ length: count }, (_, index) => {
    const [client, ready, peer, metrics] = ports.slice(4 * index, 4 * index + 4).map((port) => `127.0.0.1:${port}`)
    return new Front(`front-${index + 1}`, dir, {
      host: `front-${index + 1}`,
      availabilityZone: 'zone-a',
      clientAddress: client,
      readyAddress: ready,
      peerAddress: peer,
      metricsAddress: metrics,
      storeAddress,
      storeParts,
      maxDescriptors: 8200,
      memoryMb: 210,
      graceMs: 8000,
      ...extra
    })
  })
  for (const front of fronts) front.start()
  const deadline = Date.now() + 20000
  for (const front of fronts) {
    while (!await front.isReady()) {
      if (Date.now() > deadline) throw new Error(`${front.name} is not ready`)
      await sleep(50)
    }
  }
  return fronts
}

module.exports = { startFronts }
