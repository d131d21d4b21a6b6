/** The state of a program: the head of its chain and the content of the records that took effect. */
import * as util from 'node:util'
import type * as types from '@eelgrasswind/types'
import * as errors from '@eelgrasswind/errors'
import * as chains from './chain.js'
import * as effects from './effect.js'
import * as usages from './usage.js'

/** An intent to dispatch a call that no turn or settle record has closed yet. */
export type OpenIntent = types.SnapshotState['intents'][number]

/** One branch of a program. */
export interface BranchState {
  /** Finished calls; the call with sequence number s is at index s - 1. */
  readonly turns: types.Turn[]
  /** The intent that holds the next sequence number, if one is open. */
  openIntent: OpenIntent | undefined
}

/**
 * The state of one program. Owned by the fold: `applyRecord` mutates it, so that the cost of a record does not
 * depend on the length of the history. Other code must only read it, and call `createSnapshot` or
 * `createHistory` to keep a copy. Turns and intents are immutable.
 */
export interface ProgramState extends chains.ChainHead {
  readonly start: types.ProgramStart
  /** When the program began, by the clock of its first home. */
  readonly at: types.EpochMs
  /** All finished calls, in journal order. */
  readonly turns: types.Turn[]
  readonly turnsByKey: Map<types.RequestKey, types.Turn>
  readonly intents: Map<types.RequestKey, OpenIntent>
  readonly branches: Map<types.BranchId, BranchState>
  /** Total usage of the finished calls. */
  used: types.Usage
  /** Total reservation of the open intents. */
  reserved: types.Usage
  /** What the home may use for calls that have no record yet. */
  allowance: types.Usage
  /** Allowances of earlier homes, which count as spent. */
  forfeited: types.Usage
}

/** What a reader knows about a program: its state, or candidates for it that are not confirmed yet. */
export type ProgramView = chains.ChainView<ProgramState>

/** The result of applying a record to a program. */
export interface ApplyResult {
  /** Undefined while nothing is known about the program. The same object as was passed in, if there was one. */
  readonly view: ProgramView | undefined
  readonly effect: effects.Effect
}

/**
 * Applies one record to the state of its program. Takes ownership of `view` and mutates it.
 * A record that is next in the chain but whose content is not allowed uses up its sequence number `n` and has no other effect.
 */
export function applyRecord (
  view: ProgramView | undefined, record: types.JournalRecord, position: types.Term, context: chains.ReadContext = chains.wholeStream
): ApplyResult {
  const { chain, effect } = chains.applyToChain(view, record, position, context, stateHandlers)
  return { view: chain, effect }
}

/** Creates a complete view from a begin or snapshot that is known to have taken effect; undefined for other records. */
export function createViewFromBase (record: types.JournalRecord, position: types.Term, at: types.EpochMs): ProgramView | undefined {
  if (record.type !== 'begin' && record.type !== 'snapshot') return undefined
  const state = record.type === 'begin' ? createStateFromBegin(record, position, at) : createStateFromSnapshot(record, position, at)
  state.isComplete = true
  return { program: record.program, current: state, candidates: [], lastSeenAt: at }
}

/** Returns the state if it is known completely. */
export function getCompleteState (view: ProgramView | undefined): ProgramState | undefined {
  return view?.current?.isComplete === true ? view.current : undefined
}

/** Copies the whole state, so that later records don't change the copy. */
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

/** Creates the state after a begin, without a check whether the begin took effect. */
export function createStateFromBegin (record: types.BeginRecord, position: types.Term, at: types.EpochMs): ProgramState {
  return createState(chains.createHeadFromBegin(record, position, at), record, record.allowance ?? usages.zero, usages.zero)
}

/** Creates the state that a snapshot describes, without a check whether the snapshot took effect. */
export function createStateFromSnapshot (record: types.SnapshotRecord, position: types.Term, at: types.EpochMs): ProgramState {
  const { turns, intents, allowance, forfeited } = record.state
  const state = createState(chains.createHeadFromSnapshot(record, position, at), record.state, allowance, forfeited)
  for (const turn of turns) addTurn(state, turn)
  for (const intent of intents) addIntent(state, intent)
  return state
}

const stateHandlers: chains.HeadHandlers<ProgramState> = { createFromBegin: createStateFromBegin, createFromSnapshot: createStateFromSnapshot, applyContent }

/** Lists each member, because a spread creates objects that use more memory and are slower to mutate. */
function createState (
  head: chains.ChainHead, { start, at }: Pick<ProgramState, 'start' | 'at'>, allowance: types.Usage, forfeited: types.Usage
): ProgramState {
  return {
    term: head.term,
    n: head.n,
    home: head.home,
    finished: head.finished,
    lastAppliedAt: head.lastAppliedAt,
    isComplete: head.isComplete,
    start,
    at,
    turns: [],
    turnsByKey: new Map(),
    intents: new Map(),
    branches: new Map(),
    used: usages.zero,
    reserved: usages.zero,
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
      return errors.assertNever(record)
  }
}

function applyIntent (state: ProgramState, record: types.IntentRecord): effects.Effect {
  if (state.turnsByKey.has(record.key) || state.intents.has(record.key)) return effects.createVoidEffect('keyUsed')
  const branch = getBranch(state, record.branch)
  if (branch.openIntent !== undefined) return effects.createVoidEffect('intentOpen')
  if (record.seq !== branch.turns.length + 1) return effects.createVoidEffect('wrongSeq')
  addIntent(state, toOpenIntent(record))
  return effects.applied
}

/** Counts the whole allowance of the superseded home as spent, because it is unknown how much of it that home used. */
function forfeitAllowance (state: ProgramState): effects.Effect {
  state.forfeited = usages.add(state.forfeited, state.allowance)
  state.allowance = usages.zero
  return effects.applied
}

function applyTurn (state: ProgramState, turn: types.Turn, allowance: types.Usage | undefined): effects.Effect {
  if (state.turnsByKey.has(turn.key)) return effects.createVoidEffect('keyUsed')
  const intent = state.intents.get(turn.key)
  const reason = intent === undefined ? getTurnVoidReason(getBranch(state, turn.branch), turn) : getMismatchVoidReason(intent, turn)
  if (reason !== undefined) return effects.createVoidEffect(reason)
  if (intent !== undefined) removeIntent(state, intent)
  addTurn(state, turn)
  state.allowance = allowance ?? state.allowance
  return effects.applied
}

function getTurnVoidReason (branch: BranchState, turn: types.Turn): effects.VoidReason | undefined {
  if (branch.openIntent !== undefined) return 'intentOpen'
  return turn.seq === branch.turns.length + 1 ? undefined : 'wrongSeq'
}

function getMismatchVoidReason (intent: OpenIntent, turn: types.Turn): effects.VoidReason | undefined {
  const isSameCall = intent.branch === turn.branch && intent.seq === turn.seq && intent.digest === turn.digest
  return isSameCall ? undefined : 'intentMismatch'
}

function applySettle (state: ProgramState, record: types.SettleRecord): effects.Effect {
  const intent = state.intents.get(record.key)
  if (intent === undefined) return effects.createVoidEffect('noIntent')
  removeIntent(state, intent)
  return effects.applied
}

/** Compares a snapshot with the known state. A snapshot that matches changes nothing; one that differs marks the state as incomplete. */
function checkSnapshot (state: ProgramState, record: types.SnapshotRecord): effects.Effect {
  const expected = { ...createSnapshot(state), term: record.term }
  if (util.isDeepStrictEqual(toPlainJson(expected), toPlainJson(record.state))) return effects.applied
  state.isComplete = false
  return effects.incomplete
}

/** Converts a value to what a reader of the journal would parse. */
function toPlainJson (value: types.SnapshotState): unknown {
  return JSON.parse(JSON.stringify(value))
}

function toOpenIntent (record: types.IntentRecord): OpenIntent {
  const { key, branch, seq, digest, target, upstream, dispatchTo, reserved, at } = record
  return { key, branch, seq, digest, target, upstream, dispatchTo, reserved, at }
}

function getBranch (state: ProgramState, id: types.BranchId): BranchState {
  return state.branches.get(id) ?? { turns: [], openIntent: undefined }
}

function addTurn (state: ProgramState, turn: types.Turn): void {
  const branch = getBranch(state, turn.branch)
  branch.turns.push(turn)
  state.branches.set(turn.branch, branch)
  state.turns.push(turn)
  state.turnsByKey.set(turn.key, turn)
  state.used = usages.add(state.used, turn.usage)
}

function addIntent (state: ProgramState, intent: OpenIntent): void {
  const branch = getBranch(state, intent.branch)
  branch.openIntent = intent
  state.branches.set(intent.branch, branch)
  state.intents.set(intent.key, intent)
  state.reserved = usages.add(state.reserved, intent.reserved)
}

function removeIntent (state: ProgramState, intent: OpenIntent): void {
  getBranch(state, intent.branch).openIntent = undefined
  state.intents.delete(intent.key)
  state.reserved = usages.subtract(state.reserved, intent.reserved)
}
