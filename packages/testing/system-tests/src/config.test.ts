import * as crypto from 'node:crypto'
import tap from 'tap'
import * as configState from '@eelgrasswind/config-state'
import * as sidecarClient from '@eelgrasswind/sidecar-client'
import * as testUtils from '@eelgrasswind/test-utils'
import type * as types from '@eelgrasswind/types'
import * as recorders from './call-recorder.js'
import * as shared from './shared-system.js'

/** An accepted change is in force in every process within this, in milliseconds. */
const inForceBoundMs = 6_000

const { system, recorder, start } = await shared.startShared(tap, testUtils.smallPlan)
const stream = configState.configStream
const clients = new Map<string, sidecarClient.PeerClient>()
tap.teardown(() => { for (const client of clients.values()) client.close() })

function addresses (): readonly string[] {
  return [...system.sidecars.values(), ...system.entries.values()].map(({ process }) => String(process.ready['peerAddress']))
}

function clientOf (address: string): sidecarClient.PeerClient {
  const known = clients.get(address) ?? sidecarClient.createPeerClient({ address, timeoutMs: 2_000, pingIntervalMs: 1_000, pingTimeoutMs: 1_000, onSenderReceived: () => undefined, onUnavailable: () => undefined })
  clients.set(address, known)
  return known
}

/** Version in force in each process. */
async function versions (): Promise<readonly number[]> {
  return await Promise.all(addresses().map(async (address) => {
    const status = await clientOf(address).getStatus()
    return status.ok ? status.value.configVersion : -1
  }))
}

/** The most tokens of one call, as each process has it in force. */
async function maxTokens (): Promise<readonly unknown[]> {
  return await Promise.all(addresses().map(async (address) => {
    const known = await clientOf(address).getConfig(0 as types.ConfigVersion)
    const parsed = known.ok && known.value !== null ? configState.parseSnapshot(known.value.config) : undefined
    return parsed?.ok === true ? parsed.value.config.kinds.get(recorders.kind as types.KindId)?.maxTokens : undefined
  }))
}

/** A change of the most tokens of a call. */
function changeTo (tokens: number, basedOn: number): string {
  const kinds = { ...system.document.kinds, [recorders.kind]: { ...system.document.kinds![recorders.kind]!, maxTokens: tokens } }
  return configState.encodeChange({ format: configState.configFormat, id: crypto.randomUUID() as configState.ChangeId, basedOn: basedOn as types.ConfigVersion, puts: { kinds } as configState.ConfigPuts, deletes: {}, by: 'operator', at: Date.now() as types.EpochMs })
}

async function append (text: string): Promise<number> {
  const res = await fetch(`${system.log.address}/v1/streams/${stream}/records`, { method: 'POST', body: text })
  return (await res.json() as { offset: number }).offset
}

async function untilInForce (version: number): Promise<number> {
  const startedAt = performance.now()
  await testUtils.eventually(async () => (await versions()).every((one) => one === version), inForceBoundMs)
  return Math.round(performance.now() - startedAt)
}

tap.test('a change is in force in every process within the bound', async (t) => {
  const version = await append(changeTo(101, (await versions())[0]!)) + 1
  t.comment(`in force in ${addresses().length} processes after ${await untilInForce(version)} ms; the bound is ${inForceBoundMs} ms`)
  t.same(new Set(await maxTokens()), new Set([101]))
})

tap.test('of two changes on the same version one wins, the same in every process', async (t) => {
  const based = (await versions())[0]!
  const offsets = await Promise.all([append(changeTo(111, based)), append(changeTo(222, based))])
  const winner = Math.min(...offsets)
  await untilInForce(winner + 1)
  t.same(new Set(await maxTokens()), new Set([offsets[0] === winner ? 111 : 222]))
  await recorders.pause(1_000)
  t.same(new Set(await versions()), new Set([winner + 1]))
})

tap.test('a delayed old change does not revert a later one', async (t) => {
  const based = (await versions())[0]!
  system.log.faults.set({ type: 'delayedAppend', on: 'append', afterAppends: 2 }, { scope: stream, times: 1 })
  await append(changeTo(333, based)).catch(() => undefined)
  const first = await append(changeTo(334, based)) + 1
  const second = await append(changeTo(335, first)) + 1
  await untilInForce(second)
  t.equal(system.log.records(stream).at(-1)?.data.includes('"maxTokens":333'), true, 'the old change has landed last')
  await recorders.pause(1_500)
  t.same(new Set(await versions()), new Set([second]))
  t.same(new Set(await maxTokens()), new Set([335]))
})

tap.test('a process started during a log outage has the configuration from its peers', async (t) => {
  const before = (await versions())[0]!
  const entry = system.plan.entries[1]!
  await system.entries.get(entry.host)!.process.kill()
  const host = 'engine-b'
  await system.sidecars.get(host)!.process.kill()
  for (const type of ['refuse', 'stall'] as const) {
    system.log.faults.set({ type })
    const startedAt = performance.now()
    if (type === 'refuse') await system.startEntry(entry.host, entry.availabilityZone)
    else await system.restartSidecar(host)
    t.comment(`${type}: ready ${Math.round(performance.now() - startedAt)} ms after its start`)
    system.log.faults.clear()
  }
  await testUtils.eventually(async () => (await versions()).every((one) => one === before), inForceBoundMs)
  await start('after')
  t.ok((await recorder.askUntilWhole(recorders.modelCall('after', 'k1', 1), 10_000, 1)).ok)
})

tap.test('a process started from records that have expired has the configuration of its peers', async (t) => {
  const before = (await versions())[0]!
  system.log.control({ type: 'expire', stream, before: system.log.records(stream).length })
  const entry = system.plan.entries[0]!
  await system.entries.get(entry.host)!.process.kill()
  await system.startEntry(entry.host, entry.availabilityZone)
  t.same(new Set(await versions()), new Set([before]))
  t.same(new Set(await maxTokens()), new Set([335]))
})

shared.checkAtEnd(tap, recorder)
