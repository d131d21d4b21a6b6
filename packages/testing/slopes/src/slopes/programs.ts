/** State held for a program: at rest, for each turn, and for each byte of text. */
import * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import * as measures from '../measure.js'
import * as records from '../records.js'
import * as series from '../series.js'

const programSizes = [1_000, 10_000, 89_000]
const turnSizes = [10, 55, 110]
const textSizes = [500, 2_000, 5_450]
const repetitions = 3
/** Programs of the measurements by turn and by text. */
const fewPrograms = 50
const smallText = 200

/** Folds a program from the text of its records, as a home that reads the journal holds it. */
export function foldFromText (batch: string): programState.ProgramView {
  const parsed = programState.parseBatch(batch)
  if (!parsed.ok) throw new Error(parsed.failure.message)
  let view: programState.ProgramView | undefined
  for (const [index, record] of parsed.value.records.entries()) {
    const step = programState.applyRecord(view, record, (index + 1) as types.Term)
    if (step.effect.type !== 'applied') throw new Error(`record ${index} had no effect`)
    view = step.view
  }
  return view!
}

function batchOf (index: number, turns: number, textBytes: number): string {
  return programState.encodeBatch(records.chainOf(`program-${index}` as types.ProgramId, turns, textBytes))
}

function heldBytes (programs: number, turns: number, textBytes: number): number {
  return measures.bytesHeld(() => Array.from({ length: programs }, (_, index) => foldFromText(batchOf(index, turns, textBytes)))).bytes
}

export const programs: series.Slope = {
  name: 'program',
  measure: async () => [
    { name: 'memory at rest, begun only', per: 'program', unit: 'bytes', runs: series.repeat(repetitions, programSizes, (count) => heldBytes(count, 0, 0)) },
    { name: 'memory with 5 turns of 200 bytes', per: 'program', unit: 'bytes', runs: series.repeat(1, programSizes, (count) => heldBytes(count, 5, smallText)) },
    { name: 'memory by turns of 200 bytes', per: 'turn', unit: 'bytes', runs: series.repeat(repetitions, turnSizes, (turns) => heldBytes(fewPrograms, turns, smallText) / fewPrograms) },
    { name: 'memory by turns of 5,450 bytes', per: 'turn', unit: 'bytes', runs: series.repeat(repetitions, turnSizes, (turns) => heldBytes(fewPrograms, turns, 5_450) / fewPrograms) },
    { name: 'memory of a turn by its text', per: 'byte', unit: 'bytes', runs: series.repeat(repetitions, textSizes, (bytes) => heldBytes(fewPrograms, 100, bytes) / fewPrograms / 100) }
  ]
}
