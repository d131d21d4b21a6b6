/** What a front spends on the programs of its shards: memory, admission, records, and taking a shard over. */
import * as routeRequest from '@eelgrasswind/route-request'
import * as turnLedger from '@eelgrasswind/turn-ledger'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as series from '../series.js'

const turnSizes = [1_000, 10_000, 50_000]
const chainSizes = [10, 55, 110]
const routeSizes = [30, 400, 4_000]
const repetitions = 3
/** Input and output of a turn, bytes: 110 turns make 600 KB. */
const turnBytes = 5_450
const admissions = 2_000
const lookups = 20_000
const now = 1_000_000 as types.EpochMs

function requestOf (index: number, program: string, previous?: string): turnLedger.TurnRequest {
  return {
    turn: `${program}-${index}` as turnLedger.TurnId,
    program: program as types.ProgramId,
    account: undefined,
    previous: previous as turnLedger.TurnId | undefined,
    maxTokens: 100,
    budgetTokens: undefined,
    keeps: true,
    retainMs: 60_000
  }
}

/** Plays whole turns, all of one chain; gives the records that make them durable. */
function play (ledger: turnLedger.TurnLedger, program: string, turns: number): turnLedger.LedgerWrite[] {
  const writes: turnLedger.LedgerWrite[] = []
  for (let index = 0; index < turns; index += 1) {
    const request = requestOf(index, program, index === 0 ? undefined : `${program}-${index - 1}`)
    const admission = ledger.admitTurn(request, now)
    if (admission.type !== 'admitted') throw new Error(admission.type)
    const end: turnLedger.TurnEnd = { type: 'whole', input: Buffer.alloc(turnBytes / 2, index), output: Buffer.alloc(turnBytes / 2, index), tokens: 50 }
    const outcome = ledger.settleTurn(request, end, now)
    if (outcome.type === 'settled') writes.push(...outcome.writes)
  }
  return writes
}

function heldBytes (turns: number): number {
  const build = (): turnLedger.TurnLedger => {
    const ledger = new turnLedger.TurnLedger()
    for (let program = 0; program < turns / 10; program += 1) play(ledger, `p${program}`, 10)
    return ledger
  }
  const { bytes, held } = measures.bytesHeld(build)
  if (held.exportChain('p0-0' as turnLedger.TurnId, undefined) === undefined) throw new Error('not held')
  return bytes
}

function admitUs (chain: number): number {
  const ledger = new turnLedger.TurnLedger()
  play(ledger, 'p', chain)
  const spent = measures.cpuUs(() => {
    for (let index = 0; index < admissions; index += 1) {
      const request = requestOf(index, 'p', `p-${chain - 1}`)
      ledger.admitTurn({ ...request, turn: `x-${index}` as turnLedger.TurnId }, now)
      ledger.settleTurn({ ...request, turn: `x-${index}` as turnLedger.TurnId }, { type: 'notRun' }, now)
    }
  })
  return spent / admissions
}

function loadUs (turns: number): number {
  const source = new turnLedger.TurnLedger()
  const writes: turnLedger.LedgerWrite[] = []
  for (let program = 0; program < turns / 10; program += 1) writes.push(...play(source, `p${program}`, 10))
  const target = new turnLedger.TurnLedger()
  return measures.cpuUs(() => {
    for (const { key, value } of writes) if (value !== undefined) target.loadRecord(key, value)
    target.extendLoadedChains()
  })
}

function findUs (count: number): number {
  const routes = Array.from({ length: count }, (_, index): routeRequest.Route => ({
    name: `r${index}`,
    host: `h${index % 5}.example`,
    pathPrefix: `/p${index}/`,
    repeatability: 'idempotent',
    targets: [],
    timeoutMs: 1,
    objectiveMs: 1,
    rank: 0,
    maxAttempts: 1,
    stream: undefined,
    retain: undefined,
    isPublic: false
  }))
  const table = routeRequest.createRouteTable(routes)
  return measures.cpuUs(() => {
    for (let index = 0; index < lookups; index += 1) table.find(`h${index % 5}.example`, `/p${index % count}/x`)
  }) / lookups
}

export const turnLedgers: series.Slope = {
  name: 'turn-ledger',
  measure: async () => [
    { name: 'memory by turns of 5,450 bytes', per: 'turn', unit: 'bytes', runs: series.repeat(repetitions, turnSizes, heldBytes) },
    { name: 'admission and reservation, by length of the chain', per: 'turn of the chain', unit: 'us', runs: series.repeat(repetitions, chainSizes, admitUs) },
    { name: 'taking a shard over, without the store', per: 'turn', unit: 'us', runs: series.repeat(repetitions, turnSizes, loadUs) },
    { name: 'finding a route', per: 'route', unit: 'us', runs: series.repeat(repetitions, routeSizes, findUs) }
  ]
}
