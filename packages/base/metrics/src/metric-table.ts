/** Every metric that the system sends: its type, unit and meaning. docs/metrics.md has the same table. */

interface Metric {
  readonly type: 'counter' | 'gauge' | 'timing'
  readonly unit: string
  readonly meaning: string
}

/** All metrics; names are sent with the configured prefix. */
export const metricTable = {
  'request.finished': { type: 'counter', unit: 'requests', meaning: 'Requests of callers that an entry answered; tags target and result.' },
  'request.latency': { type: 'timing', unit: 'ms', meaning: 'Time from the arrival of a request at an entry to its answer; tag target.' },
  'program.started': { type: 'counter', unit: 'programs', meaning: 'Programs whose start was confirmed by the log.' },
  'program.refused': { type: 'counter', unit: 'programs', meaning: 'Starts refused, not run; tag reason.' },
  'program.finished': { type: 'counter', unit: 'programs', meaning: 'Programs that ended; tags kind and result.' },
  'program.in_time': { type: 'counter', unit: 'programs', meaning: 'Programs that were done by their deadline; tag kind.' },
  'program.late': { type: 'counter', unit: 'programs', meaning: 'Programs that were done after their deadline, or not at all; tag kind.' },
  'program.latency': { type: 'timing', unit: 'ms', meaning: 'Time from the start of a program to its finish; tag kind.' },
  'program.open': { type: 'gauge', unit: 'programs', meaning: 'Programs whose home is this process.' },
  'program.takeover': { type: 'counter', unit: 'programs', meaning: 'Programs taken over from another home.' },
  'call.finished': { type: 'counter', unit: 'calls', meaning: 'Calls that ended; tags target and result.' },
  'call.failed': { type: 'counter', unit: 'calls', meaning: 'Calls that failed; tags reason and verdict.' },
  'call.retried': { type: 'counter', unit: 'calls', meaning: 'Attempts after the first one; tag reason.' },
  'call.repeated': { type: 'counter', unit: 'calls', meaning: 'Calls answered from the history because their key was asked before.' },
  'call.latency': { type: 'timing', unit: 'ms', meaning: 'Time from the arrival of a call at its home to its end; tag target.' },
  'call.first_token': { type: 'timing', unit: 'ms', meaning: 'Time from the arrival of a model call to its first token.' },
  'budget.refused': { type: 'counter', unit: 'calls', meaning: 'Calls refused because the budget of their program is used up.' },
  'client.limited': { type: 'counter', unit: 'requests', meaning: 'Requests refused by the limit of their client.' },
  'connection.closed': { type: 'counter', unit: 'connections', meaning: 'Connections of callers closed because the entry had too many.' },
  'connection.open': { type: 'gauge', unit: 'connections', meaning: 'Open connections of callers.' },
  'queue.length': { type: 'gauge', unit: 'calls', meaning: 'Calls that wait for an upstream.' },
  'upstream.running': { type: 'gauge', unit: 'calls', meaning: 'Calls that run on the upstream beside this process.' },
  'cache.reused_tokens': { type: 'counter', unit: 'tokens', meaning: 'Prompt tokens found in the prefix cache.' },
  'log.appends': { type: 'counter', unit: 'appends', meaning: 'Appends sent to the log, copies included.' },
  'log.append_failed': { type: 'counter', unit: 'appends', meaning: 'Appends that were refused or whose answer was lost.' },
  'log.records': { type: 'counter', unit: 'records', meaning: 'Records appended.' },
  'log.written': { type: 'counter', unit: 'bytes', meaning: 'Bytes appended.' },
  'log.read': { type: 'counter', unit: 'bytes', meaning: 'Bytes read from journal streams.' },
  'log.unavailable': { type: 'gauge', unit: '0 or 1', meaning: '1 while the log does not answer or refuses.' },
  'config.version': { type: 'gauge', unit: 'version', meaning: 'Version of the configuration in force here.' },
  'host.live': { type: 'gauge', unit: 'hosts', meaning: 'Hosts that this process takes for live.' },
  'process.cpu': { type: 'gauge', unit: '% of a core', meaning: 'Processor time of this process over the last period.' },
  'process.memory': { type: 'gauge', unit: 'bytes', meaning: 'Resident memory of this process.' },
  'process.loop_delay': { type: 'gauge', unit: 'ms', meaning: 'Longest delay of the event loop over the last period.' }
} as const satisfies Readonly<Record<string, Metric>>

type MetricTable = typeof metricTable
type NamesOf<Type extends Metric['type']> = { [Name in keyof MetricTable]: MetricTable[Name]['type'] extends Type ? Name : never }[keyof MetricTable]

export type CounterName = NamesOf<'counter'>
export type GaugeName = NamesOf<'gauge'>
export type TimingName = NamesOf<'timing'>

/** Tags of a value; each has low cardinality. */
export interface MetricTags {
  readonly kind?: string
  readonly target?: string
  readonly result?: string
  readonly reason?: string
  readonly verdict?: string
  readonly upstream?: string
}
