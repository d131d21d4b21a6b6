/** Cost of a journal record: written, parsed and folded; and of taking over a program. */
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as records from '../records.js'
import * as series from '../series.js'
import * as programs from './programs.js'

const batchSizes = [1, 8, 32]
const textSizes = [200, 2_000, 5_450]
const turnSizes = [10, 55, 110]
const repetitions = 5
/** 150,000 tokens of 4 bytes over 110 turns. */
const largeTurnBytes = 5_450
const program = 'program-1' as types.ProgramId

function batchOf (count: number, textBytes: number): types.JournalRecord[] {
  return Array.from({ length: count }, (_, index) => records.turnOf(program, index + 1, 1 as types.Term, textBytes))
}

function encodeCost (count: number, textBytes: number): number {
  const batch = batchOf(count, textBytes)
  return measures.cpuUs(() => { programState.encodeBatch(batch) })
}

function parseCost (count: number, textBytes: number): number {
  const text = programState.encodeBatch(batchOf(count, textBytes))
  return measures.cpuUs(() => { programState.parseBatch(text) })
}

/** Folding records that are already parsed. */
function foldCost (turns: number): number {
  const chain = records.chainOf(program, turns, largeTurnBytes)
  return measures.cpuUs(() => {
    let view: programState.ProgramView | undefined
    for (const [index, record] of chain.entries()) {
      view = programState.applyRecord(view, record, (index + 1) as types.Term).view
    }
  })
}

function takeoverCost (turns: number): number {
  const text = programState.encodeBatch(records.chainOf(program, turns, largeTurnBytes))
  return measures.cpuUs(() => { programs.foldFromText(text) })
}

function snapshotCost (turns: number): number {
  const state = programState.getCompleteState(programs.foldFromText(programState.encodeBatch(records.chainOf(program, turns, largeTurnBytes))))!
  return measures.cpuUs(() => { JSON.stringify(programState.createSnapshot(state)) })
}

export const journal: series.Slope = {
  name: 'journal',
  measure: async () => [
    { name: 'a turn as JSON, by its text', per: 'byte', unit: 'bytes', runs: series.repeat(1, textSizes, (bytes) => programState.encodeBatch(batchOf(1, bytes)).length) },
    { name: 'encoding records of 5,450 bytes', per: 'record', unit: 'us', runs: series.repeat(repetitions, batchSizes, (count) => encodeCost(count, largeTurnBytes)) },
    { name: 'parsing and checking records of 200 bytes', per: 'record', unit: 'us', runs: series.repeat(repetitions, batchSizes, (count) => parseCost(count, 200)) },
    { name: 'parsing and checking records of 5,450 bytes', per: 'record', unit: 'us', runs: series.repeat(repetitions, batchSizes, (count) => parseCost(count, largeTurnBytes)) },
    { name: 'folding parsed records', per: 'record', unit: 'us', runs: series.repeat(repetitions, turnSizes, foldCost) }
  ]
}

export const takeover: series.Slope = {
  name: 'takeover',
  measure: async () => [
    { name: 'records as JSON', per: 'turn', unit: 'bytes', runs: series.repeat(1, turnSizes, (turns) => programState.encodeBatch(records.chainOf(program, turns, largeTurnBytes)).length) },
    { name: 'parsing and folding a program', per: 'turn', unit: 'us', runs: series.repeat(repetitions, turnSizes, takeoverCost) },
    { name: 'writing a snapshot', per: 'turn', unit: 'us', runs: series.repeat(repetitions, turnSizes, snapshotCost) }
  ]
}
