/** The state of a program: its chain and the content of the records that took effect. */
import * as util from 'node:util'
import type * as types from '@eelgrasswind/types'
import * as errors from '@eelgrasswind/errors'
import * as chains from './chain.js'
import * as effects from './effect.js'
import * as usages from './usage.js'

/** An intent that has neither a turn nor a settle yet. */
export type OpenIntent = types.SnapshotState['intents'][number]

/** One branch of a program. */
export interface BranchState {
  /** Finished calls; the one with sequence number s is at s - 1. */
  readonly turns: types.Turn[]
  /** The call that occupies the next place, if an intent is open for it. */
  open: OpenIntent | undefined
}

/**
 * The state of one program. Owned by the fold: `applyRecord` changes it in place, so that a record costs the
 * same however long the history is. Others only read it, and take `snapshotOf` or `historyOf` to keep a copy.
 * Turns and intents themselves never change.
 */
export interface ProgramState extends chains.ChainPoint {
  readonly start: types.ProgramStart
  /** When it began, by its first home's clock. */
  readonly at: types.EpochMs
  /** Every finished call, in the order of the journal. */
  readonly turns: types.Turn[]
  readonly turnsByKey: Map<types.RequestKey, types.Turn>
  readonly intents: Map<types.RequestKey, OpenIntent>
  readonly branches: Map<types.BranchId, BranchState>
  /** What the finished calls used. */
  used: types.Usage
  /** What the open intents reserve. */
  reserved: types.Usage
  /** What the home may use on calls that have no record yet. */
  allowance: types.Usage
  /** Allowances of earlier homes, counted as spent. */
  forfeited: types.Usage
}

/** What a reader knows of a program: its state, or that it can't know it yet. */
export type ProgramView = chains.Chain<ProgramState>

export interface Applied {
  /** Undefined while nothing is known of the program. The same object as was passed in, once there is one. */
  readonly view: ProgramView | undefined
  readonly effect: effects.Effect
}

/**
 * Applies one record to the state of its program. Takes over `view` and changes it in place.
 * A record that the chain takes but whose content breaks a rule keeps its place `n` and has no other effect.
 */
export function applyRecord (
  view: ProgramView | undefined, record: types.JournalRecord, position: types.Term, reading: chains.Reading = chains.wholeStream
): Applied {
  const { chain, effect } = chains.applyToChain(view, record, position, reading, stateRules)
  return { view: chain, effect }
}

/** What a reader knows that starts with a begin or snapshot which is known to have taken effect; undefined for other records. */
export function viewFrom (record: types.JournalRecord, position: types.Term, at: types.EpochMs): ProgramView | undefined {
  if (record.type !== 'begin' && record.type !== 'snapshot') return undefined
  const state = record.type === 'begin' ? stateFromBegin(record, position, at) : stateFromSnapshot(record, position, at)
  state.isComplete = true
  return { program: record.program, current: state, candidates: [], seenAt: at }
}

/** The state, where the reader knows the whole of it. */
export function getCompleteState (view: ProgramView | undefined): ProgramState | undefined {
  return view?.current?.isComplete === true ? view.current : undefined
}

/** A copy of the whole state that later records don't change. */
export function createSnapshot (state: ProgramState): types.SnapshotState {
  return {
    start: state.start,
    home: state.home,
    term: state.term,
    at: state.at,
    turns: [...state.turns],
    intents: [...state.intents.values()],
    finished: state.finished,
    allowance: state.allowance,
    forfeited: state.forfeited
  }
}

/** The state that a program's first record, taken as such, makes. */
export function stateFromBegin (record: types.BeginRecord, position: types.Term, at: types.EpochMs): ProgramState {
  return createState(chains.firstPoint(record, position, at), record, record.allowance ?? usages.none, usages.none)
}

/** The state that a snapshot, taken as true, makes. */
export function stateFromSnapshot (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs): ProgramState {
  const { turns, intents, allowance, forfeited } = record.state
  const state = createState(chains.restoredPoint(record, position, at), record.state, allowance, forfeited)
  for (const turn of turns) addTurn(state, turn)
  for (const intent of intents) addIntent(state, intent)
  return state
}

const stateRules: chains.PointRules<ProgramState> = { begin: stateFromBegin, restore: stateFromSnapshot, apply: applyContent }

/** Member by member, as a spread makes objects that take more memory and are slower to change. */
function createState (
  point: chains.ChainPoint, { start, at }: Pick<ProgramState, 'start' | 'at'>, allowance: types.Usage, forfeited: types.Usage
): ProgramState {
  return {
    term: point.term,
    n: point.n,
    home: point.home,
    finished: point.finished,
    lastAt: point.lastAt,
    isComplete: point.isComplete,
    start,
    at,
    turns: [],
    turnsByKey: new Map(),
    intents: new Map(),
    branches: new Map(),
    used: usages.none,
    reserved: usages.none,
    allowance,
    forfeited
  }
}

function applyContent (state: ProgramState, record: chains.LaterRecord): effects.Effect {
  switch (record.type) {
    case 'finish':
      return effects.applied
    case 'claim':
      return forfeitAllowance(state)
    case 'allow':
      state.allowance = record.allowance
      return effects.applied
    case 'intent':
      return applyIntent(state, record)
    case 'turn':
      return applyTurn(state, record.turn, record.allowance)
    case 'settle':
      return applySettle(state, record)
    case 'snapshot':
      return checkSnapshot(state, record)
    default:
      return errors.unreachable(record)
  }
}

function applyIntent (state: ProgramState, record: types.IntentRecord): effects.Effect {
  if (state.turnsByKey.has(record.key) || state.intents.has(record.key)) return effects.voided('keyUsed')
  const branch = branchOf(state, record.branch)
  if (branch.open !== undefined) return effects.voided('intentOpen')
  if (record.seq !== branch.turns.length + 1) return effects.voided('wrongSeq')
  addIntent(state, intentOf(record))
  return effects.applied
}

/** Nobody can know what the earlier home used of its allowance, so all of it counts as spent. */
function forfeitAllowance (state: ProgramState): effects.Effect {
  state.forfeited = usages.add(state.forfeited, state.allowance)
  state.allowance = usages.none
  return effects.applied
}

function applyTurn (state: ProgramState, turn: types.Turn, allowance: types.Usage | undefined): effects.Effect {
  if (state.turnsByKey.has(turn.key)) return effects.voided('keyUsed')
  const intent = state.intents.get(turn.key)
  const reason = intent === undefined ? whyNoTurn(branchOf(state, turn.branch), turn) : whyNoMatch(intent, turn)
  if (reason !== undefined) return effects.voided(reason)
  if (intent !== undefined) removeIntent(state, intent)
  addTurn(state, turn)
  state.allowance = allowance ?? state.allowance
  return effects.applied
}

function whyNoTurn (branch: BranchState, turn: types.Turn): effects.VoidReason | undefined {
  if (branch.open !== undefined) return 'intentOpen'
  return turn.seq === branch.turns.length + 1 ? undefined : 'wrongSeq'
}

function whyNoMatch (intent: OpenIntent, turn: types.Turn): effects.VoidReason | undefined {
  const same = intent.branch === turn.branch && intent.seq === turn.seq && intent.digest === turn.digest
  return same ? undefined : 'intentMismatch'
}

function applySettle (state: ProgramState, record: types.SettleRecord): effects.Effect {
  const intent = state.intents.get(record.key)
  if (intent === undefined) return effects.voided('noIntent')
  removeIntent(state, intent)
  return effects.applied
}

/** A snapshot of a known program changes nothing; one that tells another story marks the program as incomplete. */
function checkSnapshot (state: ProgramState, record: types.SnapshotRecord): effects.Effect {
  const expected = { ...createSnapshot(state), term: record.term }
  if (util.isDeepStrictEqual(plain(expected), plain(record.state))) return effects.applied
  state.isComplete = false
  return effects.incomplete
}

/** A value as a reader of the journal would get it. */
function plain (value: types.SnapshotState): unknown {
  return JSON.parse(JSON.stringify(value))
}

function intentOf (record: types.IntentRecord): OpenIntent {
  const { key, branch, seq, digest, target, upstream, dispatchTo, reserved, at } = record
  return { key, branch, seq, digest, target, upstream, dispatchTo, reserved, at }
}

function branchOf (state: ProgramState, id: types.BranchId): BranchState {
  return state.branches.get(id) ?? { turns: [], open: undefined }
}

function addTurn (state: ProgramState, turn: types.Turn): void {
  const branch = branchOf(state, turn.branch)
  branch.turns.push(turn)
  state.branches.set(turn.branch, branch)
  state.turns.push(turn)
  state.turnsByKey.set(turn.key, turn)
  state.used = usages.add(state.used, turn.usage)
}

function addIntent (state: ProgramState, intent: OpenIntent): void {
  const branch = branchOf(state, intent.branch)
  branch.open = intent
  state.branches.set(intent.branch, branch)
  state.intents.set(intent.key, intent)
  state.reserved = usages.add(state.reserved, intent.reserved)
}

function removeIntent (state: ProgramState, intent: OpenIntent): void {
  branchOf(state, intent.branch).open = undefined
  state.intents.delete(intent.key)
  state.reserved = usages.subtract(state.reserved, intent.reserved)
}
