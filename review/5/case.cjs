'use strict'
/**
 * A base turn is continued by programs of other shards, and a minute later by its own program. Programs that continue
 * from that second turn, while the first copies of the base turn expire, are answered whole. Then they go on. Expired
 * turns are removed every 5 s, so that the same is played with three base turns at an interval of 2 s.
 */
const { runCase, createConfig, sleep } = require('../stand-ins/site.cjs')
const { Program } = require('../stand-ins/program.cjs')

const bases = 3
const baseEveryMs = 2_000
const earlyPrograms = 64
const latePrograms = 24
/** Shorter than `retain_s`, 60 s. */
const secondTurnMs = 55_000
/** Shorter than `retain_s` after the second turn. */
const lateMs = 70_900
const goOnMs = 80_000

function isWhole ({ status, isComplete }) {
  return status === 200 && isComplete
}

runCase(__dirname, async (site) => {
  let eventMs = 2
  const plan = () => ({ events: 27, eventMs })
  await site.start({ fronts: 3, config: createConfig(), engines: [1, 2].map(() => ({ service: 'engines', plan })) })
  const addresses = site.fronts.map((front) => front.address)
  const playStart = Date.now()
  setTimeout(() => { eventMs = 95 }, secondTurnMs + bases * baseEveryMs)

  const playBase = async (index) => {
    const until = (ms) => sleep(Math.max(0, playStart + index * baseEveryMs + ms - Date.now()))
    await until(0)
    const base = new Program(site, `base-${index}`, 1_080, 90_000)
    const first = await base.send(addresses)
    if (!isWhole(first)) throw new Error('a base turn was not answered')
    if (site.hasTrouble) {
      await Promise.all(Array.from({ length: earlyPrograms }, (_, early) => new Program(site, `early-${index}-${early}`, 1_080).send(addresses, first.id)))
    }
    await until(secondTurnMs)
    const second = await base.send(addresses, first.id)
    if (!isWhole(second)) throw new Error('the second turn of a base program was not answered')
    await until(lateMs)
    const programs = Array.from({ length: latePrograms }, (_, late) => new Program(site, `late-${index}-${late}`, 1_080))
    const turns = await Promise.all(programs.map((program, late) => program.send([addresses[late % addresses.length]], second.id)))
    return programs.map((program, late) => ({ program, turn: turns[late] })).filter(({ turn }) => isWhole(turn))
  }
  const answered = (await Promise.all(Array.from({ length: bases }, (_, index) => playBase(index)))).flat()
  if (answered.length < bases * latePrograms / 2) throw new Error('too few programs were answered')

  await sleep(playStart + goOnMs - Date.now())
  eventMs = 2
  const results = await Promise.all(answered.map(async ({ program, turn }) => ({ program, turn, next: await program.send(addresses, turn.id) })))
  const lost = results.filter(({ next }) => next.status === 404 || next.status === 410)
  site.note(`${answered.length} turns were answered whole, ${results.filter(({ next }) => isWhole(next)).length} of them were continued, ${lost.length} were answered 404`)
  return lost.map(({ program, turn, next }) => `LOST: turn ${next.id} of ${program.name} names turn ${turn.id}, which was answered whole less than ${Math.ceil((next.at - turn.at) / 1000)} s before, and is answered ${next.status}`)
})
