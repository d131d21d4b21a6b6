import tap from 'tap'
import * as decisionLog from '@eelgrasswind/decision-log'
import type * as sendHttp from '@eelgrasswind/send-http'
import * as timerService from '@eelgrasswind/timer-service'
import * as peerProbe from './peer-probe.js'

/** Ports for a peer whose host takes no connection. */
function createPorts () {
  return {
    timers: timerService.createManualTimers(),
    decisions: decisionLog.createSilentDecisionLog(),
    connect: (): Promise<sendHttp.ConnectionProbe> => Promise.resolve('noAnswer')
  }
}

tap.test('concurrent probes of a peer share one ping', async (t) => {
  const pinged: string[] = []
  const probe = new peerProbe.PeerProbe({
    ...createPorts(),
    ping: (address) => {
      pinged.push(address)
      return Promise.resolve(true)
    }
  })
  t.same(await Promise.all([probe.isAlive('a'), probe.isAlive('a'), probe.isAlive('b')]), [true, true, true])
  t.same(pinged, ['a', 'b'])
})

tap.test('a peer that misses one ping is alive, one that misses two is not', async (t) => {
  const answers = [false, true, false, false]
  const probe = new peerProbe.PeerProbe({ ...createPorts(), ping: () => Promise.resolve(answers.shift()!) })
  t.same([await probe.isAlive('a'), await probe.isAlive('a')], [true, false])
})
