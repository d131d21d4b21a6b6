/** Makes this process the home of a program: loads it, or claims it from a home that let go or is gone. */
import type * as appendJournal from '@eelgrasswind/append-journal'
import * as errors from '@eelgrasswind/errors'
import type * as logger from '@eelgrasswind/logger'
import type * as programState from '@eelgrasswind/program-state'
import type * as types from '@eelgrasswind/types'
import type * as timerService from '@eelgrasswind/timer-service'
import type * as ports from './ports.js'
import * as journalWriter from './journal-writer.js'

export interface TakeOverDeps {
  readonly self: types.ProcessRef
  readonly journal: appendJournal.Journal
  readonly hosts: ports.HostsPort
  readonly timers: timerService.TimerService
  readonly logger: logger.Logger
  /** Called when this process has won a claim. */
  readonly onClaimed: () => void
}

/** Claims lost to others before this process stops trying. */
const maxClaims = 3
const retryMs = 500

interface Head {
  readonly term: types.Term
  readonly n: number
  readonly home: types.ProcessRef
  readonly finished: types.FinishResult | null
}

type Claim =
  | { readonly type: 'claim' }
  /** The journal names this very process: it begun or claimed it and did not see the answer. */
  | { readonly type: 'own' }
  | { readonly type: 'refuse', readonly failure: errors.Failure }

/** The whole state of a program that this process is now the home of, or that has ended. */
export async function takeOver (deps: TakeOverDeps, program: types.ProgramId): Promise<errors.Result<programState.ProgramState>> {
  for (let count = 0; count < maxClaims; count += 1) {
    const head = await deps.journal.readHead(program)
    if (!head.ok) return errors.fail({ ...head.failure, verdict: 'notRun' })
    if (head.value === undefined) return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `no program ${program}` })
    if (head.value.finished !== null) return await load(deps, program)
    const decision = await mayClaim(deps, program, head.value)
    if (decision.type === 'refuse') return errors.fail(decision.failure)
    if (decision.type === 'claim') {
      const claimed = await claim(deps, program, head.value)
      if (!claimed.ok) return claimed
      if (!claimed.value) continue
    }
    const loaded = await load(deps, program)
    // Another process may have claimed it, or ended it, before it was loaded.
    if (!loaded.ok || loaded.value.finished !== null || isHome(deps.self, loaded.value)) return loaded
  }
  return errors.fail(notHome(null, 'other processes claimed the program first'))
}

/** Whether a process is the home that the journal names. */
export function isHome (self: types.ProcessRef, { home }: programState.ProgramState): boolean {
  return home.host === self.host && home.incarnation === self.incarnation
}

async function load (deps: TakeOverDeps, program: types.ProgramId): Promise<errors.Result<programState.ProgramState>> {
  const loaded = await deps.journal.load(program)
  if (!loaded.ok) return errors.fail({ ...loaded.failure, verdict: 'notRun' })
  if (loaded.value === undefined) return errors.fail({ tag: 'unknownProgram', verdict: 'notRun', message: `no program ${program}` })
  return errors.ok(loaded.value)
}

async function mayClaim (deps: TakeOverDeps, program: types.ProgramId, head: Head): Promise<Claim> {
  const { host, incarnation } = head.home
  if (host === deps.self.host) return incarnation === deps.self.incarnation ? { type: 'own' } : { type: 'claim' }
  if (deps.hosts.stateOf(host) === 'gone') return { type: 'claim' }
  const latest = deps.hosts.getIncarnation(host)
  if (latest !== undefined && latest !== incarnation) return { type: 'claim' }
  if (!deps.hosts.isFirstChoice(program)) return await leaveOrClaim(deps, head.home)
  return await askRelease(deps, program, host)
}

/**
 * Not the first choice here, yet asked: the asker has lost the home, or has an older list. A home that answers
 * keeps the program; this process may simply not have noticed yet that it is gone.
 */
async function leaveOrClaim (deps: TakeOverDeps, home: types.ProcessRef): Promise<Claim> {
  const answer = await deps.hosts.fetchIncarnation(home.host)
  if (!answer.ok) return claimIfGone(deps, home.host, answer.failure)
  if (answer.value !== home.incarnation) return { type: 'claim' }
  return { type: 'refuse', failure: notHome(home.host, `${home.host} is its home`) }
}

/** A home that lets go, or is not the home any more, or whose process is not there, makes way for a claim. */
async function askRelease (deps: TakeOverDeps, program: types.ProgramId, host: types.HostId): Promise<Claim> {
  const released = await deps.hosts.requestRelease(host, program)
  return released.ok ? { type: 'claim' } : claimIfGone(deps, host, released.failure)
}

/** A connection that was refused means that the process is not there; silence counts once the host is suspect. */
function claimIfGone (deps: TakeOverDeps, host: types.HostId, failure: errors.Failure): Claim {
  if (failure.verdict === 'notRun') return { type: 'claim' }
  const state = deps.hosts.stateOf(host)
  if (state === 'suspect' || state === 'gone') return { type: 'claim' }
  return { type: 'refuse', failure: notHome(host, `${host} does not answer: ${failure.message}`) }
}

/** False when another process came first. */
async function claim (deps: TakeOverDeps, program: types.ProgramId, head: Head): Promise<errors.Result<boolean>> {
  const record: types.ClaimRecord = { type: 'claim', program, n: head.n + 1, term: head.term, home: deps.self, at: deps.timers.now() as types.EpochMs }
  const appended = await deps.journal.append(record)
  if (!appended.ok) return errors.fail({ ...appended.failure, verdict: 'notRun' })
  const effect = journalWriter.checkEffect(record, appended.value)
  deps.logger.info({ program, from: head.home.host, won: effect.ok }, 'claimed a program')
  if (effect.ok) deps.onClaimed()
  if (effect.ok) return errors.ok(true)
  return effect.failure.tag === 'notHome' ? errors.ok(false) : errors.fail({ ...effect.failure, verdict: 'notRun' })
}

function notHome (home: string | null, message: string): errors.Failure {
  return { tag: 'notHome', verdict: 'notRun', message, home, retryAfterMs: retryMs }
}
