/** Records for the tests and measurements of this package; not part of its public entry. */
import type * as types from '@eelgrasswind/types'

export type Place = Pick<types.JournalRecord, 'program' | 'n' | 'term'>

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

export function claim (place: Place, home: types.ProcessRef, at: number): types.ClaimRecord {
  return { ...place, type: 'claim', home, at: at as types.EpochMs }
}

/** A model call whose messages and answer are `text` each. */
export function turn (place: Place, seq: number, text: string): types.TurnRecord {
  return {
    ...place,
    type: 'turn',
    turn: {
      key: `${place.program}-${seq}` as types.RequestKey,
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

export function finish (place: Place): types.FinishRecord {
  return { ...place, type: 'finish', result: 'done', at: 3 as types.EpochMs }
}
