/** Makes this process the home of a program: loads it, or claims it if its home has released it or is gone. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as logger from '@eelgrasswind/logger'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as ports from './ports.js'
import * as journalWriter from './journal-writer.js'

/** Dependencies of a takeover. */
export interface TakeOverDeps {
  readonly self: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly hosts: ports.HostsPort
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** Called when a claim of this process has taken effect. */
  readonly onClaimed: () => void
}

/** Lost claims after which this process stops trying. */
const maxClaimAttempts = 3
/** Retry-after time of requests that this process can't serve as the home. */
const retryAfterMs = 500

interface JournalHead {
  readonly term: types.Term
  readonly n: number
  readonly home: types.ProcessRef
  readonly finished: types.FinishResult | null
}

type ClaimDecision =
  | { readonly type: 'claim' }
  /** The journal names this process already: the acknowledgement of its begin or claim record was lost. */
  | { readonly type: 'own' }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

/** Returns the complete state of the program, which now has its home here or has finished. Other outcomes are failures. */
export async function takeOver (deps: TakeOverDeps, program: types.ProgramId): Promise<errors.Result<programState.ProgramState>> {
  for (let count = 0; count < maxClaimAttempts; count += 1) {
    const head = await deps.journal.readHead(program)
    if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    if (head.value === undefined) return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `program ${program} does not exist` })
    if (head.value.finished !== null) return await loadState(deps, program)
    const decision = await decideClaim(deps, program, head.value)
    if (decision.type === 'refuse') return errors.fail(decision.failure)
    if (decision.type === 'claim') {
      const claimed = await writeClaim(deps, program, head.value)
      if (!claimed.ok) return claimed
      if (!claimed.value) continue
    }
    const loaded = await loadState(deps, program)
    // Another process may have claimed or finished the program before it was loaded.
    if (!loaded.ok || loaded.value.finished !== null || isHome(deps.self, loaded.value)) return loaded
  }
  return errors.fail(createNotHomeFailure(null, 'other processes claimed the program first'))
}

/** Whether this process, in its current incarnation, is the home named in the journal. */
export function isHome (self: types.ProcessRef, { home }: programState.ProgramState): boolean {
  return home.host === self.host && home.incarnation === self.incarnation
}

async function loadState (deps: TakeOverDeps, program: types.ProgramId): Promise<errors.Result<programState.ProgramState>> {
  const loaded = await deps.journal.load(program)
  if (!loaded.ok) return errors.fail({ ...loaded.failure, verdict: 'notRun' })
  if (loaded.value === undefined) return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `program ${program} does not exist` })
  return errors.ok(loaded.value)
}

async function decideClaim (deps: TakeOverDeps, program: types.ProgramId, head: JournalHead): Promise<ClaimDecision> {
  const { host, incarnation } = head.home
  if (host === deps.self.host) return incarnation === deps.self.incarnation ? { type: 'own' } : { type: 'claim' }
  const latest = deps.hosts.getIncarnation(host)
  if (latest !== undefined && latest !== incarnation) return { type: 'claim' }
  // A host that is not listed any more may still finish its calls.
  if (deps.hosts.stateOf(host) === 'gone' || deps.hosts.isFirstChoice(program)) return await requestRelease(deps, program, head.home)
  return await claimIfReplaced(deps, head.home)
}

/**
 * Decides for a process that ranks behind the home but was asked for the program: the asker failed to reach the home,
 * or has an older host list. A home that answers in the same incarnation keeps the program. The home is asked, as it may
 * be gone without this process having noticed yet.
 */
async function claimIfReplaced (deps: TakeOverDeps, home: types.ProcessRef): Promise<ClaimDecision> {
  const answer = await deps.hosts.fetchIncarnation(home.host)
  if (!answer.ok) return claimIfGone(deps, home.host, answer.failure)
  if (answer.value !== home.incarnation) return { type: 'claim' }
  return createRefusal(home.host, `${home.host} is the home of the program`)
}

/**
 * Allows a claim if the home releases the program, is no longer its home, or its process is not running. A home that
 * does not answer in time may wait for the log, so a suspect one is asked for its incarnation before a claim.
 */
async function requestRelease (deps: TakeOverDeps, program: types.ProgramId, home: types.ProcessRef): Promise<ClaimDecision> {
  const released = await deps.hosts.requestRelease(home.host, program)
  if (released.ok) return { type: 'claim' }
  if (released.failure.tag === 'inProgress') return createRefusal(home.host, `${home.host} has calls of the program in flight`)
  const mayBeBusy = released.failure.verdict !== 'notRun' && deps.hosts.stateOf(home.host) === 'suspect'
  return mayBeBusy ? await claimIfReplaced(deps, home) : claimIfGone(deps, home.host, released.failure)
}

/** A refused connection means that the process is not running. A timeout allows a claim only once the host is suspect. */
function claimIfGone (deps: TakeOverDeps, host: types.HostId, failure: errors.Failure): ClaimDecision {
  if (failure.verdict === 'notRun') return { type: 'claim' }
  const state = deps.hosts.stateOf(host)
  if (state === 'suspect' || state === 'gone') return { type: 'claim' }
  return createRefusal(host, `home ${host} does not answer: ${failure.message}`)
}

function createRefusal (home: types.HostId, message: string): ClaimDecision {
  return { type: 'refuse', failure: createNotHomeFailure(home, message) }
}

/** Appends a claim record. The result is false if another process claimed the program first. */
async function writeClaim (deps: TakeOverDeps, program: types.ProgramId, head: JournalHead): Promise<errors.Result<boolean>> {
  const record: types.ClaimRecord = { type: 'claim', program, n: head.n + 1, term: head.term, home: deps.self, at: deps.timers.now() as types.EpochMs }
  const appended = await deps.journal.append(record)
  if (!appended.ok) return errors.fail({ ...appended.failure, verdict: 'notRun' })
  const effect = journalWriter.checkEffect(record, appended.value)
  deps.logger.info({ program, from: head.home.host, won: effect.ok }, 'appended a claim on a program')
  if (effect.ok) deps.onClaimed()
  if (effect.ok) return errors.ok(true)
  return effect.failure.tag === 'notHome' ? errors.ok(false) : errors.fail({ ...effect.failure, verdict: 'notRun' })
}

function createNotHomeFailure (home: string | null, message: string): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message, home, retryAfterMs }
}
