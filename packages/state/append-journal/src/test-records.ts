/** Builds records for the tests and measurements of this package; not exported by the package. */
import type * as types from '@eelgrasswind/types'

export type ChainPosition = Pick<types.JournalRecord, 'program' | 'n' | 'term'>

export const mainBranch = 'main' as types.BranchId

export function processRef (name: string): types.ProcessRef {
  return { host: name as types.HostId, incarnation: `${name}-1` as types.Incarnation }
}

export function programId (name: string): types.ProgramId {
  return name as types.ProgramId
}

export function begin (program: types.ProgramId, home: types.ProcessRef, at: number): types.BeginRecord {
  const budget = { tokens: 1_000_000, calls: 1000, microCost: 1_000_000, wallMs: 600_000 }
  const start = { program, client: 'c' as types.ClientId, kind: 'quote' as types.KindId, deadline: at + 60_000 as types.EpochMs, budget }
  return { type: 'begin', program, n: 1, term: 0 as types.Term, start, home, at: at as types.EpochMs }
}

export function claim (position: ChainPosition, home: types.ProcessRef, at: number): types.ClaimRecord {
  return { ...position, type: 'claim', home, at: at as types.EpochMs }
}

/** Builds the record of a model call; `text` is the content of both its message and its answer. */
export function turn (position: ChainPosition, seq: number, text: string): types.TurnRecord {
  return {
    ...position,
    type: 'turn',
    turn: {
      key: `${position.program}-${seq}` as types.RequestKey,
      branch: mainBranch,
      seq,
      digest: 'a'.repeat(64),
      target: { type: 'model', model: 'm' as types.ModelId, messages: [{ role: 'user', content: text }], maxTokens: 500, options: {} },
      outcome: { type: 'message', message: { role: 'assistant', content: text }, finishReason: 'stop' },
      usage: { tokens: 100, calls: 1, microCost: 10 },
      tokens: { prompt: 80, cached: 0, generated: 20 },
      upstream: 'u' as types.UpstreamId,
      startedAt: 1 as types.EpochMs,
      endedAt: 2 as types.EpochMs
    }
  }
}

export function finish (position: ChainPosition): types.FinishRecord {
  return { ...position, type: 'finish', result: 'done', at: 3 as types.EpochMs }
}
