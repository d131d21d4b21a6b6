/** Works out a report from what was recorded of the programs of a run. */
import type * as records from '../drive/records.js'
import * as latencies from './latencies.js'

export interface RunDescription {
  readonly deployment: string
  readonly seed: number
  readonly rate: number
  /** Programs of the first seconds are offered and not reported, so that the system has learnt the kinds. */
  readonly warmUpSeconds: number
  readonly seconds: number
  readonly timeScale: number
}

export interface FailureCount {
  readonly code: string
  readonly verdict: string
  readonly count: number
}

/** Programs by how they ended. */
export type EndCounts = Readonly<Record<records.ProgramEnd, number>>

export interface KindReport {
  readonly kind: string
  readonly weight: number
  readonly offered: number
  readonly ends: EndCounts
  /** From when a program was offered to the answer that it is finished; only programs that finished. */
  readonly latency: latencies.LatencySummary | null
  /** Share of the programs that should finish and did so by their deadline; null where there are none. */
  readonly inTimeShare: number | null
}

export interface StartReport {
  readonly refusedFirst: number
  /** The Retry-After of the refusal ends after the deadline, or there is none. */
  readonly noSecondTry: number
  readonly secondTries: number
  readonly secondStarted: number
  /** Second tries that finished by their deadline. */
  readonly secondInTime: number
  readonly refusals: readonly FailureCount[]
}

export interface RepeatReport {
  /** Non-idempotent requests that were sent again under the same key after their answer. */
  readonly askedAgain: number
  readonly answeredFromHistory: number
  /** Must be 0. */
  readonly ranAgain: number
  /** The second request failed. */
  readonly failed: number
}

export interface LoadReport {
  readonly run: RunDescription
  readonly offered: number
  readonly ends: EndCounts
  readonly latency: latencies.LatencySummary | null
  /** Weight of the programs in time, of the weight of all that their callers meant to finish. */
  readonly weightedInTime: number | null
  /** The same, of those that were started. */
  readonly weightedInTimeStarted: number | null
  readonly starts: StartReport
  readonly failures: readonly FailureCount[]
  /** Failures that the workload brings about: hung tools, and loops that meet their budget. */
  readonly expectedFailures: readonly FailureCount[]
  readonly repeats: RepeatReport
  readonly modelCalls: number
  readonly serviceCalls: number
  readonly tokens: { readonly promptComputed: number, readonly promptCached: number, readonly generated: number }
  readonly firstText: latencies.LatencySummary | null
  readonly modelCall: latencies.LatencySummary | null
  readonly kinds: readonly KindReport[]
  /** For the plots. */
  readonly programs: readonly ProgramPoint[]
}

export interface ProgramPoint {
  readonly kind: string
  readonly offeredAtMs: number
  readonly latencyMs: number
  readonly end: records.ProgramEnd
  readonly inTime: boolean
}

type Records = readonly records.ProgramRecord[]
type CallOf<Type extends records.CallRecord['type']> = Extract<records.CallRecord, { type: Type }>

export function isInTime (record: records.ProgramRecord): boolean {
  return record.end === 'finished' && record.endedAtMs <= record.deadlineMs
}

function wasStarted (record: records.ProgramRecord): boolean {
  return record.starts.some(({ type }) => type === 'started')
}

function latencyOf (record: records.ProgramRecord): number {
  return record.endedAtMs - record.offeredAtMs
}

function callsOf<Type extends records.CallRecord['type']> (programs: Records, type: Type): CallOf<Type>[] {
  return programs.flatMap(({ calls }) => calls.filter((call): call is CallOf<Type> => call.type === type))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

export function createReport (run: RunDescription, recorded: Records): LoadReport {
  const programs = recorded.filter(({ offeredAtMs }) => offeredAtMs >= run.warmUpSeconds * 1000)
  const models = callsOf(programs, 'model')
  const services = callsOf(programs, 'service')
  const failed = callsOf(programs, 'failed')
  const cached = sum(models.map(({ cachedTokens }) => cachedTokens))
  return {
    run,
    offered: programs.length,
    ends: countEnds(programs),
    latency: programLatency(programs),
    weightedInTime: weightedInTime(programs),
    weightedInTimeStarted: weightedInTime(programs.filter(wasStarted)),
    starts: startReport(programs),
    failures: countFailures(failed.filter(({ expected }) => !expected)),
    expectedFailures: countFailures(failed.filter(({ expected }) => expected)),
    repeats: repeatReport(services),
    modelCalls: models.length,
    serviceCalls: services.length,
    tokens: { promptComputed: sum(models.map(({ promptTokens }) => promptTokens)) - cached, promptCached: cached, generated: sum(models.map(({ generatedTokens }) => generatedTokens)) },
    firstText: latencies.summarize(models.map(({ firstTextMs }) => firstTextMs)),
    modelCall: latencies.summarize(models.map(({ totalMs }) => totalMs)),
    kinds: kindReports(programs),
    programs: programs.map((record) => ({ kind: record.kind, offeredAtMs: record.offeredAtMs, latencyMs: latencyOf(record), end: record.end, inTime: isInTime(record) }))
  }
}

/** The run ended while it waited for its Retry-After. */
function isWaitingForSecond ({ starts, end }: records.ProgramRecord): boolean {
  return starts.length === 1 && starts[0]!.type === 'refused' && end === 'unfinished'
}

function programLatency (programs: Records): latencies.LatencySummary | null {
  return latencies.summarize(programs.filter(({ end }) => end === 'finished').map(latencyOf))
}

/** Null where no program should finish. */
function weightedInTime (programs: Records): number | null {
  const meant = programs.filter(({ fate }) => fate === 'finishes')
  const weight = sum(meant.map((record) => record.weight))
  if (weight === 0) return null
  return sum(meant.filter(isInTime).map((record) => record.weight)) / weight
}

function countEnds (programs: Records): EndCounts {
  const counts: Record<records.ProgramEnd, number> = { finished: 0, refused: 0, failed: 0, budget: 0, abandoned: 0, unfinished: 0 }
  for (const { end } of programs) counts[end] += 1
  return counts
}

function countFailures (failures: readonly { readonly code: string, readonly verdict: string }[]): FailureCount[] {
  const counts = new Map<string, FailureCount>()
  for (const { code, verdict } of failures) {
    const key = `${code} ${verdict}`
    counts.set(key, { code, verdict, count: (counts.get(key)?.count ?? 0) + 1 })
  }
  return [...counts.values()].sort((a, b) => b.count - a.count || (a.code < b.code ? -1 : 1))
}

function startReport (programs: Records): StartReport {
  const second = programs.filter(({ starts }) => starts.length > 1)
  const refusedFirst = programs.filter(({ starts }) => starts[0]?.type === 'refused').length
  const refusals = programs.flatMap(({ starts }) => starts.flatMap((start) => start.type === 'refused' ? [start] : []))
  return {
    refusedFirst,
    noSecondTry: refusedFirst - second.length - programs.filter(isWaitingForSecond).length,
    secondTries: second.length,
    secondStarted: second.filter(wasStarted).length,
    secondInTime: second.filter(isInTime).length,
    refusals: countFailures(refusals)
  }
}

function repeatReport (services: readonly CallOf<'service'>[]): RepeatReport {
  const count = (askedAgain: records.AskedAgain): number => services.filter((call) => call.askedAgain === askedAgain).length
  const [answeredFromHistory, ranAgain, failed] = [count('answeredFromHistory'), count('ranAgain'), count('failed')]
  return { askedAgain: answeredFromHistory + ranAgain + failed, answeredFromHistory, ranAgain, failed }
}

function kindReports (programs: Records): KindReport[] {
  return [...new Set(programs.map(({ kind }) => kind))].sort().map((kind) => {
    const ofKind = programs.filter((record) => record.kind === kind)
    return {
      kind,
      weight: ofKind[0]!.weight,
      offered: ofKind.length,
      ends: countEnds(ofKind),
      latency: programLatency(ofKind),
      inTimeShare: weightedInTime(ofKind)
    }
  })
}
