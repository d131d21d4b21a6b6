/** The calls by which hosts report to the process that meters a group of client accounts. */
import type * as meterAccount from '@eelgrasswind/meter-account'

/** A batch of account reports from one host. */
export interface MeterCall {
  readonly type: 'meter'
  /** Index of the account group that the call is for. */
  readonly group: number
  /** Configuration version of the limits. */
  readonly version: number
  /** Name of the reporting host. */
  readonly host: string
  /** The ownership term of the newest owner that has answered the host; -1 if none has. */
  readonly knownTerm: number
  readonly reports: readonly meterAccount.MeterReport[]
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
  /** The called process does not own the account group, or can't be certain that it still does. */
  | { readonly type: 'notOwner', readonly reason: 'elsewhere' | meterAccount.Tenure }

const unknownTerm = -1

/** Adds what calls of processes of an earlier release lack, while both releases run side by side. */
export function completeCall (call: Omit<MeterCall, 'host' | 'knownTerm'> & Partial<MeterCall>): MeterCall {
  return { ...call, host: call.host ?? '', knownTerm: call.knownTerm ?? unknownTerm }
}

/** Adds what answers of processes of an earlier release lack. */
export function completeAnswer (answer: EarlierMeterCallAnswer): MeterCallAnswer {
  switch (answer.type) {
    case 'metered': return { ...answer, term: answer.term ?? answer.answers[0]?.term ?? unknownTerm, hosts: answer.hosts ?? 0 }
    case 'notOwner': return { ...answer, reason: answer.reason ?? 'elsewhere' }
  }
}

/** An answer of this or an earlier release. */
export type EarlierMeterCallAnswer =
  | { readonly type: 'metered', readonly term?: number, readonly hosts?: number, readonly answers: readonly meterAccount.MeterAnswer[] }
  | { readonly type: 'notOwner', readonly reason?: Extract<MeterCallAnswer, { type: 'notOwner' }>['reason'] }
