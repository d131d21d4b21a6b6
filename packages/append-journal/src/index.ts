/** Appends journal records in batches and says whether each took effect. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import xxhash from 'xxhash-wasm'

export interface JournalSettings {
  readonly log: logClient.LogClient
  readonly shards: number
  readonly onSuperseded: (program: types.ProgramId) => void
  readonly [other: string]: unknown
}

export interface AppendedRecord { readonly position: types.Term, readonly effect: programState.Effect }

export interface Journal {
  append: (record: types.JournalRecord) => Promise<errors.Result<AppendedRecord>>
  head: (program: types.ProgramId) => Promise<errors.Result<programState.ProgramState | undefined>>
  load: (program: types.ProgramId) => Promise<errors.Result<programState.ProgramState | undefined>>
  release: (program: types.ProgramId) => void
  available: () => boolean
  counters: () => Record<string, number>
  close: () => Promise<void>
}

interface Waiting { readonly record: types.JournalRecord, readonly resolve: (result: errors.Result<AppendedRecord>) => void }

export async function createJournal (settings: JournalSettings): Promise<Journal> {
  const { h32 } = await xxhash()
  const views = new Map<types.ProgramId, programState.ProgramView>()
  const shards = Array.from({ length: settings.shards }, (_, shard) => ({ stream: `journal-${shard}` as types.StreamName, next: 0, queue: [] as Waiting[], busy: false }))
  const counts = { appends: 0, records: 0 }
  const shardOf = (program: types.ProgramId) => shards[h32(program) % settings.shards]!

  async function catchUp (shard: typeof shards[number], until?: number): Promise<Map<number, programState.Effect[]>> {
    const effects = new Map<number, programState.Effect[]>()
    for (;;) {
      const page = await settings.log.read(shard.stream, shard.next as types.LogOffset)
      if (!page.ok) throw new errors.FailureError(page.failure)
      for (const { offset, data, at } of page.value.records) {
        if (offset < shard.next) continue
        const batch = programState.parseBatch(data)
        if (!batch.ok) throw new Error(batch.failure.message)
        effects.set(offset, batch.value.records.map((record, index) => {
          const { view, effect } = programState.applyRecord(views.get(record.program), record, ((offset * 4096) + index + 1) as types.Term, { at, since: undefined, rules: { idleMs: Infinity, reuseMs: Infinity } })
          if (view !== undefined) views.set(record.program, view)
          return effect
        }))
        shard.next = offset + 1
      }
      if (shard.next >= page.value.next || (until !== undefined && shard.next > until)) return effects
    }
  }

  async function pump (shard: typeof shards[number]): Promise<void> {
    if (shard.busy || shard.queue.length === 0) return
    shard.busy = true
    const batch = shard.queue.splice(0)
    try {
      const appended = await settings.log.append(shard.stream, programState.encodeBatch(batch.map(({ record }) => record)))
      if (!appended.ok) {
        for (const { resolve } of batch) resolve(appended)
      } else {
        counts.appends += 1
        counts.records += batch.length
        const effects = (await catchUp(shard, appended.value.offset)).get(appended.value.offset)!
        batch.forEach(({ resolve }, index) => resolve(errors.ok({ position: ((appended.value.offset * 4096) + index + 1) as types.Term, effect: effects[index]! })))
      }
    } catch (err) {
      for (const { resolve } of batch) resolve(errors.fail(errors.failureFrom(err)))
    } finally {
      shard.busy = false
    }
    void pump(shard)
  }

  async function load (program: types.ProgramId): Promise<errors.Result<programState.ProgramState | undefined>> {
    try {
      await catchUp(shardOf(program))
    } catch (err) {
      return errors.fail(errors.failureFrom(err))
    }
    return errors.ok(views.get(program)?.current)
  }

  return {
    append: (record) => new Promise((resolve) => {
      const shard = shardOf(record.program)
      shard.queue.push({ record, resolve })
      void pump(shard)
    }),
    head: load,
    load,
    release: () => undefined,
    available: () => true,
    counters: () => counts,
    close: async () => undefined
  }
}
