import tap from 'tap'
import * as peerProbe from './peer-probe.js'

tap.test('all who wait for a peer share one question', async (t) => {
  const asked: string[] = []
  const probe = new peerProbe.PeerProbe({
    ping: (address) => {
      asked.push(address)
      return Promise.resolve(true)
    }
  })
  t.same(await Promise.all([probe.lives('a'), probe.lives('a'), probe.lives('b')]), [true, true, true])
  t.same(asked, ['a', 'b'])
})

tap.test('a peer that misses one question lives, one that misses two does not', async (t) => {
  const answers = [false, true, false, false]
  const probe = new peerProbe.PeerProbe({ ping: () => Promise.resolve(answers.shift()!) })
  t.same([await probe.lives('a'), await probe.lives('a')], [true, false])
})
