import * as util from 'node:util'
import * as fc from 'fast-check'
import type * as types from '@eelgrasswind/types'
import tap from 'tap'
import * as configState from './index.js'

const fuzzSettings = { seed: 1, numRuns: 400 }
const kind = { weight: 1, budget: { tokens: 1000, calls: 10, microCost: 0, wallMs: 1000 }, expectedTurns: 2, deadlineSlackMs: 500, maxTokens: 100 }

function createAuthor (id: string): configState.ChangeAuthor {
  return { id: id as configState.ChangeId, by: 'operator', at: 0 as types.EpochMs }
}

function createRecord (offset: number, data: string): configState.ConfigRecord {
  return { offset: offset as types.LogOffset, at: offset * 10 as types.EpochMs, data }
}

function encodeTestChange (basedOn: number, puts: unknown, id = 'c'): string {
  return configState.encodeChange(configState.makeChange({ puts: puts as configState.ConfigPuts, deletes: {} }, basedOn as types.ConfigVersion, createAuthor(id)))
}

function foldRecords (texts: readonly string[], from = configState.initialState): configState.ApplyResult {
  return texts.reduce<configState.ApplyResult>((result, text) => configState.applyRecord(result.state, createRecord(configState.nextOffset(result.state), text)), { state: from, effect: { type: 'repeated' } })
}

/** A record that an operator or a process may write; the numbers select among the versions and records that exist then. */
type Step =
  | { type: 'change', basedOn: number, weight: number, valid: boolean }
  | { type: 'copy', of: number }
  | { type: 'twice', of: number }
  | { type: 'garbage', text: string }

const indexArbitrary = fc.nat({ max: 1000 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('change' as const), basedOn: fc.nat({ max: 2 }), weight: fc.integer({ min: 1, max: 5 }), valid: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('copy' as const), of: fc.nat({ max: 2 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('twice' as const), of: indexArbitrary }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('garbage' as const), text: fc.constantFrom('', '{', '[]', '{"format":0}', '{"format":1}') }) }
)

/** The expected outcome of a stream, derived from the validity of its steps without the fold. */
interface ExpectedHistory {
  readonly texts: string[]
  /** Version and weight in force before each offset, and after the last one. */
  readonly inForce: { version: number, weight: number | undefined }[]
}

function writeStream (steps: readonly Step[]): ExpectedHistory {
  const texts: string[] = []
  const validWeights: (number | undefined)[] = []
  const inForce: ExpectedHistory['inForce'] = [{ version: 0, weight: undefined }]
  const versions = [0]
  for (const step of steps) {
    const current = inForce.at(-1)!
    const recentVersion = (back: number): number => versions[Math.max(0, versions.length - 1 - back)]!
    let text = ''
    let weight: number | undefined
    let basedOn = -1
    if (step.type === 'change') {
      basedOn = recentVersion(step.basedOn)
      weight = step.valid ? step.weight : undefined
      text = encodeTestChange(basedOn, { kinds: { k: { ...kind, weight: step.weight, maxTokens: step.valid ? 1 : 5000 } } }, `c${texts.length}`)
    } else if (step.type === 'copy') {
      const asOf = Math.max(0, inForce.length - 1 - step.of)
      const copied = inForce[asOf]!
      const puts = copied.weight === undefined ? {} : { kinds: { k: { ...kind, weight: copied.weight, maxTokens: 1 } } }
      const cfg = configState.validateConfig(puts)
      if (cfg.ok && copied.version > 0) {
        const snapshot = { ...configState.initialState, version: copied.version as types.ConfigVersion, config: cfg.value, asOf: asOf as types.LogOffset }
        text = configState.encodeChange(configState.makeCopy(snapshot, createAuthor('copy')))
      }
    } else if (step.type === 'twice') {
      text = texts[step.of % Math.max(1, texts.length)] ?? ''
      const parsed = configState.parseChange(text)
      basedOn = parsed.ok && parsed.value.republishes === undefined ? parsed.value.basedOn : -1
      weight = validWeights[step.of % Math.max(1, texts.length)]
    } else text = step.text
    const isAccepted = basedOn === current.version && weight !== undefined
    texts.push(text)
    validWeights.push(weight)
    inForce.push(isAccepted ? { version: texts.length, weight } : current)
    if (isAccepted) versions.push(texts.length)
  }
  return { texts, inForce }
}

/** One delivery to a reader: a page from any offset, or the snapshot of another reader. */
const deliveryArbitrary = fc.record({ from: indexArbitrary, length: fc.integer({ min: 1, max: 6 }), near: fc.boolean(), peer: fc.constantFrom(0, 0, 0, 1) })

function getWeight (current: configState.ConfigSnapshot): number | undefined {
  return current.config.kinds.get('k' as types.KindId)?.weight
}

tap.test('every reader accepts the same changes and its version never decreases, whichever records and snapshots it receives', async (t) => {
  let acceptedRuns = 0
  let restoredCount = 0
  fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 25 }), indexArbitrary, fc.array(deliveryArbitrary, { maxLength: 25 }), (steps, start, deliveries) => {
    const { texts, inForce } = writeStream(steps)
    const firstOffset = start < 500 ? 0 : start % (texts.length + 1)
    const completeReader = foldRecords(texts).state
    let reader = configState.skipExpired(configState.initialState, firstOffset as types.LogOffset)
    const applyOffset = (offset: number): void => {
      const applied = configState.applyRecord(reader, createRecord(offset, texts[offset]!))
      if (applied.effect.type === 'accepted' && inForce[offset + 1]!.version !== applied.effect.version) throw new Error(`accepted a stale change at ${offset}`)
      if (applied.effect.type === 'rejected' && inForce[offset + 1]!.version === offset + 1) throw new Error(`rejected a valid change at ${offset}`)
      if (applied.state.version < reader.version) throw new Error(`version decreased from ${reader.version} to ${applied.state.version}`)
      if (applied.effect.type === 'restored') restoredCount += 1
      reader = applied.state
      const expected = reader.gap === null ? inForce[reader.asOf]! : inForce.find((entry) => entry.version === reader.version)
      if (expected?.version !== reader.version || expected.weight !== getWeight(reader)) throw new Error(`version ${reader.version} is not the one in force at ${reader.asOf}`)
    }
    for (const delivery of deliveries) {
      if (delivery.peer === 1) {
        const peer = foldRecords(texts.slice(0, delivery.from % (texts.length + 1))).state
        const versionBefore = reader.version
        reader = configState.adoptSnapshot(reader, peer)
        if (reader.version < versionBefore) throw new Error('a peer snapshot decreased the version')
      }
      const from: number = delivery.near ? configState.nextOffset(reader) : firstOffset + delivery.from % (texts.length + 1)
      for (let offset = from; offset < Math.min(texts.length, from + delivery.length); offset += 1) applyOffset(offset)
    }
    for (let offset: number = configState.nextOffset(reader); offset < texts.length; offset += 1) applyOffset(offset)
    acceptedRuns += inForce.at(-1)!.version > 0 ? 1 : 0
    return reader.gap !== null || (reader.version === completeReader.version && util.isDeepStrictEqual(reader.config, completeReader.config))
  }), fuzzSettings)
  t.ok(acceptedRuns > fuzzSettings.numRuns / 4, 'most runs accept a change')
  t.ok(restoredCount > 20, 'gaps were closed by copies')
})

tap.test('of two concurrent changes one is accepted and the other is rejected as stale', async (t) => {
  const acceptedResult = foldRecords([encodeTestChange(0, { kinds: { k: kind } }, 'a')])
  t.same(acceptedResult.effect, { type: 'accepted', version: 1 })
  const rejectedResult = foldRecords([encodeTestChange(0, { kinds: { k: { ...kind, weight: 9 } } }, 'b')], acceptedResult.state)
  t.same(rejectedResult.effect, { type: 'rejected', reason: 'stale', detail: 'based on version 0, but version 1 is in force' })
  t.equal(rejectedResult.state.config, acceptedResult.state.config)
  t.same(foldRecords([encodeTestChange(1, { kinds: { k: { ...kind, weight: 9 } } })], rejectedResult.state).effect, { type: 'accepted', version: 3 })
})

tap.test('a change that would make the configuration invalid is rejected with every error', async (t) => {
  const engine = { id: 'e', type: 'engine', address: 'http://10.0.0.1:80', models: ['m'], contextTokens: 1, slots: 1, cacheTokens: 1, checksFencing: true }
  const { effect } = foldRecords([encodeTestChange(0, { hosts: { h: { region: 'r', availabilityZone: 'z', upstreams: [engine] } }, limits: { snapshotMs: 86_400_000 } })])
  t.match(effect, { type: 'rejected', reason: 'invalid', detail: /^hosts\.h\.upstreams\[0\]\.models\[0\]: expected a model of the section models, found "m"; limits\.snapshotMs: expected at most 43200000/ })
  const contradictoryChange = { format: 1, id: 'd', basedOn: 0, puts: { kinds: { k: kind } }, deletes: { kinds: ['k'] }, by: 'x', at: 0 }
  t.match(foldRecords([JSON.stringify(contradictoryChange)]).effect, { reason: 'invalid', detail: 'kinds.k: expected an existing id to delete, found no such id; kinds.k: expected either a put or a delete, found both' })
})

tap.test('an unknown format opens a gap until a copy covers it', async (t) => {
  const first = foldRecords([encodeTestChange(0, { kinds: { k: kind } })])
  const newerFormat = foldRecords(['{"format":2,"anything":1}'], first.state)
  t.same(newerFormat.effect, { type: 'unknownFormat', format: 2 })
  t.equal(newerFormat.state.version, 1)
  const pendingResult = foldRecords([encodeTestChange(1, {})], newerFormat.state)
  t.same(pendingResult.effect, { type: 'pending' })
  const snapshot = { ...first.state, version: 2 as types.ConfigVersion, asOf: 2 as types.LogOffset }
  const copy = configState.encodeChange(configState.makeCopy(snapshot, createAuthor('copy')))
  const restored = foldRecords([copy], pendingResult.state)
  t.same([restored.effect, restored.state.gap], [{ type: 'restored', version: 2 }, null])
  t.same(foldRecords([copy], first.state).effect, { type: 'rejected', reason: 'staleCopy', detail: 'a copy of version 2, but version 1 is in force' })
})

tap.test('a reader that starts after records expired reports a gap and starts from a copy', async (t) => {
  const completeReader = foldRecords([encodeTestChange(0, { kinds: { k: kind } }), encodeTestChange(1, { kinds: { k: { ...kind, weight: 2 } } })])
  const copy = configState.encodeChange(configState.makeCopy(completeReader.state, createAuthor('copy')))
  const lateReader = configState.skipExpired(configState.initialState, 3 as types.LogOffset)
  t.match(lateReader.gap, { cause: 'expired', from: 3 })
  t.same(configState.applyRecord(lateReader, createRecord(3, copy)).effect, { type: 'pending' }, 'the copy does not cover the records between')
  const copyFromAhead = configState.encodeChange(configState.makeCopy({ ...completeReader.state, asOf: 4 as types.LogOffset }, createAuthor('copy')))
  t.same(configState.applyRecord(lateReader, createRecord(3, copyFromAhead)).effect, { type: 'pending' }, 'a copy cannot cover records after itself')
  const readerInTime = configState.skipExpired(configState.initialState, 2 as types.LogOffset)
  const restored = foldRecords([copy], readerInTime)
  t.same(restored.effect, { type: 'restored', version: 2 })
  t.same(foldRecords([encodeTestChange(2, {})], restored.state).effect, { type: 'accepted', version: 4 })
})

tap.test('an old copy changes nothing, with or without a gap', async (t) => {
  const first = foldRecords([encodeTestChange(0, { kinds: { k: kind } })])
  const oldCopy = configState.encodeChange(configState.makeCopy(first.state, createAuthor('copy')))
  const second = foldRecords([encodeTestChange(1, {})], first.state)
  const delayed = foldRecords([oldCopy], second.state)
  t.same(delayed.effect, { type: 'rejected', reason: 'staleCopy', detail: 'a copy of version 1, but version 2 is in force' })
  t.equal(delayed.state.copiedAt, second.state.copiedAt)
  const readerAtGap = configState.skipExpired(second.state, 9 as types.LogOffset)
  const wrongCopy = configState.encodeChange(configState.makeCopy({ ...first.state, asOf: 9 as types.LogOffset }, createAuthor('copy')))
  const result = foldRecords([wrongCopy], readerAtGap)
  t.same([result.effect, result.state.version, result.state.gap?.from], [{ type: 'pending' }, 2, 9])
})

tap.test('a snapshot that does not reach a gap is adopted and the gap stays', async (t) => {
  const first = foldRecords([encodeTestChange(0, { kinds: { k: kind } })])
  const lateReader = foldRecords(['{}'], configState.skipExpired(configState.initialState, 5 as types.LogOffset)).state
  const adopted = configState.adoptSnapshot(lateReader, first.state)
  t.same([adopted.version, adopted.gap?.from, configState.nextOffset(adopted)], [1, 5, 6])
  t.equal(configState.adoptSnapshot(adopted, { ...first.state, version: 0 as types.ConfigVersion, asOf: 9 as types.LogOffset }), adopted, 'an older version')
})

tap.test('copies are due from half of the retention on', async (t) => {
  const { state: current } = foldRecords([encodeTestChange(0, { limits: { retentionMs: 1000, snapshotMs: 100 } })])
  t.equal(configState.isCopyDue(current, 499 as types.EpochMs), false)
  t.equal(configState.isCopyDue(current, 500 as types.EpochMs), true)
  const copied = configState.applyRecord(current, { offset: 1 as types.LogOffset, at: 500 as types.EpochMs, data: configState.encodeChange(configState.makeCopy(current, createAuthor('copy'))) })
  t.same(copied.effect, { type: 'republished', version: 1 })
  t.equal(configState.isCopyDue(copied.state, 999 as types.EpochMs), false)
  t.equal(configState.isCopyDue(configState.initialState, 999 as types.EpochMs), false)
})

tap.test('the number of records that wait behind a gap is bounded', async (t) => {
  const lateReader = configState.skipExpired(configState.initialState, 5 as types.LogOffset)
  const texts = Array.from({ length: configState.maxPendingRecords + 10 }, () => '{}')
  const { gap } = foldRecords(texts, lateReader).state
  t.same([gap?.pending.length, gap?.from], [configState.maxPendingRecords, 15])
})

tap.test('applying a difference gives the other configuration', async (t) => {
  const weightsArbitrary = fc.dictionary(fc.constantFrom('a', 'b', 'constructor', 'toString'), fc.integer({ min: 1, max: 3 }))
  const configArbitrary = weightsArbitrary.map((kindWeights) => {
    const kinds = Object.fromEntries(Object.entries(kindWeights).map(([id, weight]) => [id, { ...kind, weight }]))
    const result = configState.validateConfig({ kinds, limits: { retryBudget: Object.keys(kindWeights).length } })
    if (!result.ok) throw new Error('invalid')
    return result.value
  })
  fc.assert(fc.property(configArbitrary, configArbitrary, (from, to) => {
    const fullConfig = foldRecords([encodeTestChange(0, configState.diffConfig(null, from).puts)])
    const text = configState.encodeChange(configState.makeChange(configState.diffConfig(from, to), 1 as types.ConfigVersion, createAuthor('d')))
    const parsed = configState.parseSnapshot(JSON.parse(JSON.stringify(configState.toSnapshotDocument(foldRecords([text], fullConfig.state).state))))
    return parsed.ok && configState.listDifferences(parsed.value.config, to).length === 0
  }), { seed: 1, numRuns: 200 })
  t.pass('every pair')
})
