/** Builds records for the tests of this package; not exported by the package. */
import type * as types from '@eelgrasswind/types'

export const program = 'p1' as types.ProgramId
export const mainBranch = 'main' as types.BranchId
export const homeA = processRef('a')
export const homeB = processRef('b')
export const budget = { tokens: 1000, calls: 10, microCost: 500, wallMs: 60_000 }

export function processRef (name: string): types.ProcessRef {
  return { host: name as types.HostId, incarnation: `${name}1` as types.Incarnation }
}

export function term (position: number): types.Term {
  return position as types.Term
}

export function key (name: string): types.RequestKey {
  return name as types.RequestKey
}

export function begin (home = homeA): types.BeginRecord {
  const start = { program, client: 'c' as types.ClientId, kind: 'quote' as types.KindId, deadline: 5000 as types.EpochMs, budget }
  return { type: 'begin', program, n: 1, term: term(0), start, home, at: 1000 as types.EpochMs }
}

export function claim (n: number, supersededTerm: number, home = homeB): types.ClaimRecord {
  return { type: 'claim', program, n, term: term(supersededTerm), home, at: 2000 as types.EpochMs }
}

export function modelTarget (text: string): types.CallTarget {
  return { type: 'model', model: 'm' as types.ModelId, messages: [{ role: 'user', content: text }], maxTokens: 50, options: {} }
}

export function answer (text: string): types.CallOutcome {
  return { type: 'message', message: { role: 'assistant', content: text }, finishReason: 'stop' }
}

export function createTurn (seq: number, name: string, overrides: Partial<types.Turn> = {}): types.Turn {
  return {
    key: key(name),
    branch: mainBranch,
    seq,
    digest: `digest-${name}`,
    target: modelTarget(name),
    outcome: answer(`answer to ${name}`),
    usage: { tokens: 10, calls: 1, microCost: 2 },
    tokens: { prompt: 8, cached: 0, generated: 2 },
    upstream: 'u' as types.UpstreamId,
    startedAt: 1100 as types.EpochMs,
    endedAt: 1200 as types.EpochMs,
    ...overrides
  }
}

export function turn (n: number, currentTerm: number, content: types.Turn): types.TurnRecord {
  return { type: 'turn', program, n, term: term(currentTerm), turn: content }
}

export function intent (n: number, currentTerm: number, seq: number, name: string): types.IntentRecord {
  const { branch, digest, target, upstream } = createTurn(seq, name)
  return {
    type: 'intent',
    program,
    n,
    term: term(currentTerm),
    key: key(name),
    branch,
    seq,
    digest,
    target,
    upstream,
    dispatchTo: homeB,
    reserved: { tokens: 0, calls: 1, microCost: 100 },
    at: 1100 as types.EpochMs
  }
}

export function settle (n: number, currentTerm: number, name: string): types.SettleRecord {
  return { type: 'settle', program, n, term: term(currentTerm), key: key(name), verdict: 'notRun' }
}

export function finish (n: number, currentTerm: number): types.FinishRecord {
  return { type: 'finish', program, n, term: term(currentTerm), result: 'done', at: 3000 as types.EpochMs }
}

export function snapshot (n: number, state: types.SnapshotState): types.SnapshotRecord {
  return { type: 'snapshot', program, n, term: state.term, state }
}

export function at (ms: number): types.EpochMs {
  return ms as types.EpochMs
}
