/** Tells the story of one request from the log lines of several processes. */
import type * as decisionLog from '@eelgrasswind/decision-log'

/** One line of a process, as it was logged. */
export interface LogLine {
  /** ISO 8601. */
  readonly time: string
  readonly host: string
  readonly event: string
  readonly request?: string
  readonly [field: string]: unknown
}

/** A line of the story. */
export interface StoryLine {
  readonly time: string
  readonly host: string
  readonly event: string
  /** The request's own line, or what its process believed. */
  readonly about: 'request' | 'belief'
  /** The line's fields but for those above. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** What the logs tell of one request. */
export interface Story {
  readonly lines: readonly StoryLine[]
  /** Lines that were left out or dropped by the processes concerned: the story may have gaps. */
  readonly gaps: number
}

/** Beliefs that decide whether a request can be served; the others change too often to help. */
const tellingBeliefs: ReadonlySet<string> = new Set<decisionLog.DecisionEvent>([
  'started', 'stopping', 'routing', 'assignment', 'shardLost', 'leaseNotRenewed', 'memberEvicted', 'appendUnanswered',
  'storeAway', 'storeBack', 'storeRelayed', 'storeDirect', 'cutOff', 'reachable', 'groupLeft'
])
const gapEvents: ReadonlySet<string> = new Set(['linesLeftOut', 'linesDropped'])
/** Fields that every line has, or that the table shows anyway. */
const commonFields: ReadonlySet<string> = new Set(['name', 'hostname', 'pid', 'level', 'v', 'time', 'host', 'event', 'msg', 'request'])

/** The line's record; `undefined` for text that is no log line. What a collector puts before the record is passed over. */
export function parseLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start === -1) return undefined
  try {
    const record = JSON.parse(text.slice(start)) as Partial<LogLine>
    if (typeof record.time !== 'string' || typeof record.host !== 'string' || typeof record.event !== 'string') return undefined
    return record as LogLine
  } catch {
    return undefined
  }
}

/** The request's lines, and what its processes believed: the newest word before it, and all that changed meanwhile. */
export function explainRequest (lines: readonly LogLine[], request: string): Story {
  const own = lines.filter((line) => line.request === request).sort(byTime)
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return { lines: [], gaps: 0 }
  const hosts = new Set(own.map(({ host }) => host))
  const near = lines.filter((line) => hosts.has(line.host) && line.request === undefined && line.time <= last.time)
  const before = new Map<string, LogLine>()
  const meanwhile: LogLine[] = []
  for (const line of near.filter(({ event }) => tellingBeliefs.has(event)).sort(byTime)) {
    if (line.time < first.time) before.set(`${line.host} ${line.event}`, line)
    else meanwhile.push(line)
  }
  const story = [...[...before.values(), ...meanwhile].map((line) => toStory(line, 'belief')), ...own.map((line) => toStory(line, 'request'))]
  const gaps = near.filter((line) => gapEvents.has(line.event) && line.time >= first.time).length
  return { lines: story.sort(byTime), gaps }
}

function byTime (a: { readonly time: string }, b: { readonly time: string }): number {
  return a.time < b.time ? -1 : a.time > b.time ? 1 : 0
}

function toStory (line: LogLine, about: StoryLine['about']): StoryLine {
  const fields = Object.fromEntries(Object.entries(line).filter(([name]) => !commonFields.has(name)))
  return { time: line.time, host: line.host, event: line.event, about, fields }
}
