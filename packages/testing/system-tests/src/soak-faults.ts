/** The faults of a soak: what is done to processes and stand-ins, one thing after another, from a seed. */
import type * as standIns from '@eelgrasswind/stand-ins'
import type * as testUtils from '@eelgrasswind/test-utils'
import * as recorders from './call-recorder.js'

export interface FaultSettings {
  /** Mean time between two faults, in milliseconds. */
  readonly everyMs: number
}

/** Most processes that are killed, stopped or paused at the same time. */
const mostDown = 2
/** Most bytes that are sent of an answer that is cut; every reply is longer. */
const mostCutBytes = 20

type Action = (rnd: testUtils.Seeded) => Promise<string>

export class SoakFaults {
  readonly done: string[] = []
  private readonly down = new Set<string>()
  private readonly pending = new Set<Promise<void>>()
  private ended = false

  /** `variants`: draws the details of a fault, apart from which faults come when. */
  constructor (private readonly system: testUtils.System, private readonly rnd: testUtils.Seeded, private readonly variants: testUtils.Seeded, private readonly settings: FaultSettings) {}

  /** Goes on until told to end. */
  async run (): Promise<void> {
    const actions: readonly Action[] = [
      this.killSidecar, this.killSidecar, this.stopSidecar, this.pauseSidecar, this.pauseSidecar,
      this.replaceEntry, this.strikeLog, this.strikeLog, this.strikeService, this.strikeService, this.strikeEngine, this.strikeEngine, this.strikeHostList
    ]
    while (!this.ended) {
      await recorders.pause(this.settings.everyMs * (0.5 + this.rnd.uniform()))
      if (this.ended) break
      this.done.push(await this.rnd.pick(actions)(this.rnd))
    }
    await Promise.all(this.pending)
    this.clear()
  }

  end (): void {
    this.ended = true
  }

  private clear (): void {
    this.system.log.faults.clear()
    this.system.hostList.faults.clear()
    this.system.hostList.stall(false)
    for (const one of [...this.system.engines.values(), ...this.system.services.values()]) one.faults.clear()
  }

  /** Does something later, and lets the end of the soak wait for it. */
  private later (ms: number, run: () => unknown): void {
    const waiting = recorders.pause(ms).then(async () => { await run() })
    this.pending.add(waiting)
    void waiting.finally(() => this.pending.delete(waiting))
  }

  private async withSidecar (name: string, use: (host: string, process: testUtils.SpawnedProcess) => unknown): Promise<string> {
    const up = [...this.system.sidecars.keys()].filter((host) => !this.down.has(host))
    if (this.down.size >= mostDown) return `${name}: enough are down`
    const host = this.rnd.pick(up)
    this.down.add(host)
    await use(host, this.system.sidecars.get(host)!.process)
    return `${name} ${host}`
  }

  private readonly killSidecar: Action = async (rnd) => await this.withSidecar('kill', async (host, process) => {
    await process.kill()
    this.restartLater(host, rnd.whole(0, 3_000))
  })

  private readonly stopSidecar: Action = async (rnd) => await this.withSidecar('stop', (host, process) => {
    this.later(0, async () => {
      await process.stop()
      this.restartLater(host, rnd.whole(0, 1_000))
    })
  })

  private restartLater (host: string, ms: number): void {
    this.later(ms, async () => {
      // A process that starts while the log is down waits for it.
      await this.system.restartSidecar(host)
      this.down.delete(host)
    })
  }

  private readonly pauseSidecar: Action = async (rnd) => await this.withSidecar('pause', (host, process) => {
    process.pause()
    this.later(rnd.whole(300, 6_000), () => {
      process.resume()
      this.down.delete(host)
    })
  })

  private readonly replaceEntry: Action = async (rnd) => {
    const { host, availabilityZone } = rnd.pick(this.system.plan.entries)
    if (this.down.has(host)) return `entry ${host}: already down`
    this.down.add(host)
    const { process } = this.system.entries.get(host)!
    const graceful = rnd.chance(0.5)
    this.later(0, async () => {
      await (graceful ? process.stop() : process.kill())
      await this.system.startEntry(host, availabilityZone)
      this.down.delete(host)
    })
    return `${graceful ? 'stop' : 'kill'} ${host}`
  }

  private readonly strikeLog: Action = async (rnd) => {
    const faults: readonly standIns.LogFault[] = [
      { type: 'refuse', retryAfterMs: 200 }, { type: 'stall' }, { type: 'stall', on: 'append' }, { type: 'reset' }, { type: 'loseAnswer', on: 'append' },
      { type: 'delayedAppend', on: 'append', afterAppends: rnd.whole(1, 3) }, { type: 'slow', delayMs: rnd.whole(50, 800) }
    ]
    const fault = rnd.pick(faults)
    const scope = rnd.chance(0.5) ? { scope: `journal-${rnd.whole(0, 7)}` } : {}
    const lasts = fault.type === 'refuse' || fault.type === 'stall' || fault.type === 'reset'
    this.system.log.faults.set(fault, lasts ? scope : { ...scope, times: rnd.whole(1, 6) })
    if (lasts) this.later(rnd.whole(200, 4_000), () => this.system.log.faults.clear())
    return `log ${fault.type}`
  }

  private readonly strikeService: Action = async (rnd) => {
    const faults: readonly standIns.ServiceFault[] = [
      { type: 'refuse', retryAfterMs: 100 }, { type: 'reset' }, { type: 'loseAnswer' }, { type: 'hang', run: true }, { type: 'hang', run: false },
      { type: 'delay', delayMs: rnd.whole(100, 2_500) }, { type: 'error', run: true }, { type: 'error', run: false }, { type: 'truncate' },
      { type: 'wrongId' }, { type: 'crossed' }, { type: 'duplicate' }, { type: 'invalidJson' }
    ]
    const fault = this.drawVariant(rnd.pick(faults))
    const one = rnd.pick([...this.system.services.values()])
    one.faults.set(fault, { times: rnd.whole(1, 4) })
    if (fault.type === 'hang') this.later(rnd.whole(500, 3_000), () => one.faults.clear())
    return `service ${fault.type}`
  }

  /** Draws how an answer is cut, apart from the other draws. A reply is a JSON object, which shows by itself that it is cut. */
  private drawVariant (fault: standIns.ServiceFault): standIns.ServiceFault {
    if (fault.type !== 'truncate' || this.variants.chance(0.3)) return fault
    return { type: 'truncate', unframed: { bytes: this.variants.whole(0, mostCutBytes), reset: this.variants.chance(0.5) } }
  }

  private readonly strikeEngine: Action = async (rnd) => {
    const faults: readonly standIns.EngineFault[] = [
      { type: 'refuse', retryAfterMs: 100 }, { type: 'reset' }, { type: 'error' }, { type: 'truncate', afterTokens: 2, clean: rnd.chance(0.5) }, { type: 'wrongId' },
      { type: 'crossed' }, { type: 'crossedBody' }, { type: 'neverEnd' }, { type: 'slow', factor: 8 }, { type: 'duplicate' }, { type: 'loseAnswer' },
      { type: 'control', on: 'sessions', how: rnd.pick(['refuse', 'reset', 'loseAnswer']) }
    ]
    const fault = rnd.pick(faults)
    rnd.pick([...this.system.engines.values()]).faults.set(fault, { times: rnd.whole(1, 4) })
    return `engine ${fault.type}`
  }

  private readonly strikeHostList: Action = async (rnd) => {
    const { hostList } = this.system
    if (rnd.chance(0.3)) {
      hostList.stall(true)
      this.later(rnd.whole(1_000, 6_000), () => hostList.stall(false))
      return 'host list stalled'
    }
    const faults: readonly standIns.HostListFault[] = [{ type: 'down' }, { type: 'empty' }, { type: 'hang' }, { type: 'truncate' }]
    const fault = rnd.pick(faults)
    hostList.faults.set(fault)
    this.later(rnd.whole(500, 5_000), () => hostList.faults.clear())
    return `host list ${fault.type}`
  }
}
