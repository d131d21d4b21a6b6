/** Journal records of the size that a measurement asks for. */
import type * as types from '@eelgrasswind/types'

const home: types.ProcessRef = { host: 'host-1' as types.HostId, incarnation: '0f8fad5b-d9cb-469f-a165-70867728950e' as types.Incarnation }
const at = 1_760_000_000_000 as types.EpochMs
const digest = 'ab'.repeat(32)

/** Latin text with one byte a character. */
export function textOf (bytes: number): string {
  return 'the manager walks through every player of the roster and asks for a size. '.repeat(Math.ceil(bytes / 74)).slice(0, bytes)
}

export function beginOf (program: types.ProgramId): types.BeginRecord {
  const start: types.ProgramStart = {
    program,
    client: 'client-1' as types.ClientId,
    kind: 'roster' as types.KindId,
    deadline: at,
    budget: { tokens: 200_000, calls: 200, microCost: 1_000_000, wallMs: 3_600_000 }
  }
  return { type: 'begin', program, n: 1, term: 0 as types.Term, start, home, at }
}

/** A turn of a model call whose request and answer share the text bytes equally. */
export function turnOf (program: types.ProgramId, seq: number, term: types.Term, textBytes: number): types.TurnRecord {
  const turn: types.Turn = {
    key: `${program}.main.${seq}` as types.RequestKey,
    branch: 'main' as types.BranchId,
    seq,
    digest,
    target: {
      type: 'model',
      model: 'agent-large' as types.ModelId,
      messages: [{ role: 'user', content: textOf(textBytes / 2) }],
      maxTokens: 1_000,
      options: {}
    },
    outcome: { type: 'message', message: { role: 'assistant', content: textOf(textBytes / 2) }, finishReason: 'stop' },
    usage: { tokens: 1_300, calls: 1, microCost: 900 },
    tokens: { prompt: 1_100, cached: 1_000, generated: 200 },
    upstream: 'engine-1' as types.UpstreamId,
    startedAt: at,
    endedAt: at
  }
  return { type: 'turn', program, n: seq + 1, term, turn }
}

/** Every record of a program with a number of turns, begun at position 1. */
export function chainOf (program: types.ProgramId, turns: number, textBytes: number): types.JournalRecord[] {
  const term = 1 as types.Term
  return [beginOf(program), ...Array.from({ length: turns }, (_, index) => turnOf(program, index + 1, term, textBytes))]
}
