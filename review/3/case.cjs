'use strict'
/**
 * Programs with a spent budget are refused while they continue from a turn of another program. Other programs continue
 * from the same turn and are answered. Then the process of one front is killed, and they go on.
 */
const { runCase, createConfig, sleep } = require('../stand-ins/site.cjs')
const { Program } = require('../stand-ins/program.cjs')

const spentPrograms = 40
const laterPrograms = 24
const events = 4

runCase(__dirname, async (site) => {
  await site.start({ fronts: 3, config: createConfig(), engines: [1, 2].map(() => ({ service: 'engines', plan: () => ({ events, eventMs: 5 }) })) })
  const addresses = site.fronts.map((front) => front.address)
  const base = new Program(site, 'base', 1_080)
  const first = await base.send(addresses)
  if (!first.isComplete || first.status !== 200) throw new Error('the base turn was not answered')

  // Each has room for one turn: its second, which continues from the base turn, exceeds the budget.
  await Promise.all(Array.from({ length: spentPrograms }, async (_, index) => {
    const program = new Program(site, `spent-${index}`, 140)
    const own = await program.send(addresses)
    if (own.status !== 200) return
    await program.send(addresses, first.id)
  }))

  const programs = Array.from({ length: laterPrograms }, (_, index) => new Program(site, `later-${index}`, 1_080))
  const answered = await Promise.all(programs.map(async (program) => {
    const turn = await program.send(addresses, first.id)
    return turn.status === 200 && turn.isComplete ? { program, turn } : undefined
  }))
  const kept = answered.filter(Boolean)
  if (kept.length < laterPrograms / 2) throw new Error('too few programs were answered')

  if (site.hasTrouble) site.fronts[0].signal('SIGKILL')
  await sleep(6_000)
  await site.waitUntilReady()

  const results = await Promise.all(kept.map(async ({ program, turn }) => ({ turn, program, next: await program.send(addresses, turn.id) })))
  const lost = results.filter(({ next }) => next.status === 404 || next.status === 410)
  site.note(`${kept.length} turns were answered whole, ${results.filter(({ next }) => next.status === 200 && next.isComplete).length} of them were continued, ${lost.length} were answered 404`)
  return lost.map(({ program, turn, next }) => `LOST: turn ${next.id} of ${program.name} names turn ${turn.id}, which was answered whole ${Math.round((next.at - turn.at) / 1000)} s before, and is answered ${next.status}`)
})
