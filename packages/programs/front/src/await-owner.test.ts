import tap from 'tap'
import type * as ownShards from '@eelgrasswind/own-shards'
import * as timerService from '@eelgrasswind/timer-service'
import * as awaitOwner from './await-owner.js'

const partition = { topic: 'x', part: 0 }
const serving = { state: 'serving' } as ownShards.OwnedShard

function fixture () {
  const timers = timerService.createManualTimers()
  const shards = { location: { type: 'unknown' } as ownShards.ShardLocation, locate: () => shards.location, refreshOwners: () => Promise.resolve(), leaseMs: 1_100 }
  return { timers, shards, waiting: awaitOwner.awaitKnownOwner({ shards, timers }, partition) }
}

// Guards against turns that no owner stores: a late process that refuses each call in a moment in which nobody owns the shard is asked again too late.
tap.test('a shard without an owner is waited for, and served if it comes here', async (t) => {
  const { timers, shards, waiting } = fixture()
  timers.after(400, () => { shards.location = { type: 'here', shard: serving } })
  await timers.advanceAsync(500)
  t.equal(await waiting, serving)
})

tap.test('it is not waited for any longer once another process owns it, or after a lease', async (t) => {
  const { timers, shards, waiting } = fixture()
  timers.after(400, () => { shards.location = { type: 'member', member: 'front-1@127.0.0.1:1' } })
  await timers.advanceAsync(500)
  t.equal(await waiting, undefined)
  const nobody = fixture()
  await nobody.timers.advanceAsync(1_200)
  t.equal(await nobody.waiting, undefined)
})
