/** The calls by which hosts report to the process that meters a group of client accounts. */
import * as meterAccount from '@eelgrasswind/meter-account'

/** A batch of account reports from one host. */
export interface MeterCall {
  readonly type: 'meter'
  /** Index of the account group that the call is for. */
  readonly group: number
  /** Configuration version of the limits. */
  readonly version: number
  /** Name of the reporting host, and of its process: another one each time it starts. */
  readonly host: string
  readonly incarnation: string
  /** Rises with each call of the process for the group: calls may overtake each other. */
  readonly sequence: number
  /** The ownership term of the newest owner that has answered the host; -1 if none has. */
  readonly knownTerm: number
  /** Whether the host may use its own share of the limits, since no owner has answered its last call. */
  readonly usesShare: boolean
  /** The newest owner of which the host knows that it counts no more, and for how long at least, in ms. */
  readonly ended?: EndedTerm | undefined
  readonly reports: readonly MeterReport[]
}

/** An ownership term that has ended. */
export interface EndedTerm {
  readonly term: number
  readonly agoMs: number
}

/** A report with the field that owners of an earlier release expect. */
export interface MeterReport extends meterAccount.MeterReport {
  /** Requests sent without an owner's permission: always none. */
  readonly spent: meterAccount.RequestCounts
}

/** Answer to a batch of reports. */
export type MeterCallAnswer =
  | {
    readonly type: 'metered'
    readonly term: number
    /** Number of hosts that the owner knows. */
    readonly hosts: number
    readonly answers: readonly meterAccount.MeterAnswer[]
  }
  | NotOwnerAnswer

/** The called process does not own the account group, or can't be certain that it still does. */
export interface NotOwnerAnswer {
  readonly type: 'notOwner'
  /** `opening`: it does not know yet what its predecessor has left. `outdated`: it has had a later call of the same process. */
  readonly reason: 'elsewhere' | 'opening' | 'outdated' | meterAccount.Tenure
  /** The newest term in which it has owned the group, if that has ended. */
  readonly endedTerm?: number | undefined
}

/** No answer. `ended`: the process that answered the call before has ended. */
export interface NoOwnerAnswer {
  readonly type: 'noAnswer'
  readonly ended: boolean
}

const unknownTerm = -1

type EarlierReport = Pick<meterAccount.MeterReport, 'account' | 'limit' | 'asked'> & { readonly spent: meterAccount.RequestCounts }

/** A call of this or an earlier release. */
export type EarlierMeterCall = Pick<MeterCall, 'type' | 'group' | 'version'> & Omit<Partial<MeterCall>, 'reports'> & { readonly reports: readonly (MeterReport | EarlierReport)[] }

/** Adds what calls of processes of an earlier release lack, while both releases run side by side. */
export function completeCall (call: EarlierMeterCall): MeterCall {
  const { host = '', incarnation = '', sequence = 0, knownTerm = unknownTerm, usesShare = false } = call
  return { ...call, host, incarnation, sequence, knownTerm, usesShare, reports: call.reports.map(completeReport) }
}

function completeReport (report: MeterReport | EarlierReport): MeterReport {
  if ('counter' in report) return report
  return { ...report, counter: 0, total: meterAccount.noRequests, kept: 0, allowanceTerm: unknownTerm, wanted: 0, earlierSpent: report.spent }
}

/** An answer that neither this nor an earlier release gives. */
export class InvalidMeterAnswerError extends Error {
  constructor () {
    super('invalid answer to a report of account counts')
    this.name = 'InvalidMeterAnswerError'
  }
}

/** Throws an `InvalidMeterAnswerError` unless the answer is one of this or an earlier release, with numbers that are some. */
export function checkAnswer (answer: unknown): void {
  if (!isRecord(answer) || !(isMetered(answer) || isNotOwner(answer))) throw new InvalidMeterAnswerError()
}

function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null
}

function isMetered ({ type, term, hosts, answers }: Readonly<Record<string, unknown>>): boolean {
  return type === 'metered' && isMissingOrFinite(term) && isMissingOrFinite(hosts) && Array.isArray(answers) && answers.every(isAccountAnswer)
}

function isNotOwner ({ type, reason, endedTerm }: Readonly<Record<string, unknown>>): boolean {
  return type === 'notOwner' && (reason === undefined || typeof reason === 'string') && isMissingOrFinite(endedTerm)
}

function isAccountAnswer (answer: unknown): boolean {
  if (!isRecord(answer)) return false
  const { account, term, state, granted, allowance, waitMs } = answer
  return typeof account === 'string' && isMissingOrFinite(term) && isRecord(state) && isNumber(state['level']) && isCounts(granted) && isMissingOrFinite(allowance) && isCounts(waitMs)
}

function isCounts (value: unknown): boolean {
  return isRecord(value) && isNumber(value['first']) && isNumber(value['further'])
}

/** An account whose limit allows nothing waits without end. */
function isNumber (value: unknown): boolean {
  return typeof value === 'number' && !Number.isNaN(value)
}

function isMissingOrFinite (value: unknown): boolean {
  return value === undefined || Number.isFinite(value)
}

/** Adds what answers of processes of an earlier release lack. Throws an `InvalidMeterAnswerError` at anything else. */
export function completeAnswer (answer: EarlierMeterCallAnswer): MeterCallAnswer {
  checkAnswer(answer)
  switch (answer.type) {
    case 'metered': return { ...answer, term: answer.term ?? answer.answers[0]?.term ?? unknownTerm, hosts: answer.hosts ?? 0, answers: answer.answers.map((each) => ({ ...each, allowance: each.allowance ?? 0 })) }
    case 'notOwner': return { ...answer, reason: answer.reason ?? 'elsewhere' }
  }
}

type EarlierAnswer = Omit<meterAccount.MeterAnswer, 'allowance'> & Partial<meterAccount.MeterAnswer>

/** An answer of this or an earlier release. */
export type EarlierMeterCallAnswer =
  | { readonly type: 'metered', readonly term?: number, readonly hosts?: number, readonly answers: readonly EarlierAnswer[] }
  | { readonly type: 'notOwner', readonly reason?: NotOwnerAnswer['reason'], readonly endedTerm?: number | undefined }
