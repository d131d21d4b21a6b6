/**
 * Reads the log lines of a fleet once, in order of time, and keeps sums: which requests of clients failed and why, and
 * which of them were the last that was heard of their program.
 */
import * as boundedMap from '@eelgrasswind/bounded-map'
import type * as decisionLog from '@eelgrasswind/decision-log'
import type * as explainRequest from '@eelgrasswind/explain-request'

/** One reason for which requests failed. */
export interface Loss {
  readonly kind: string
  /** How the request ended, and the status that its client got. */
  readonly outcome: string
  readonly status: number
  /** What was decided last about the request before it ended. */
  readonly cause: string
  readonly requests: number
  /** Programs of which nothing was heard after such a request. */
  readonly programsEnded: number
  /** The time until the client was told, ms: mean of these requests. */
  readonly meanMs: number
  /** The second, counted from the first line, in which most of them ended. */
  readonly worstSecond: number
  /** The host that told most of them. */
  readonly worstHost: string
  /** One of them, for `explain-request`. */
  readonly example: string
}

/** What the lines say as a whole. */
export interface LossReport {
  readonly requests: number
  readonly failed: number
  readonly programs: number
  /** Programs whose last request failed. */
  readonly programsEnded: number
  /** Failed requests of which no line tells why. */
  readonly unexplained: number
  /** Lines that processes left out or dropped: counts of whole requests are then too low, those of failed ones are not. */
  readonly gaps: number
  /** Largest first. */
  readonly losses: readonly Loss[]
}

/** Requests whose lines are remembered until they end, and programs until they fall silent; the oldest go first. */
const mostRemembered = 50_000
/**
 * Clocks of hosts differ, and processes write their lines in batches: the reason that one host gives for a request may
 * come this long after another host has told its end, in ms. Batches are a few hundred ms long.
 */
const reasonLagMs = 1_000
const unexplained = 'no line tells'
const msPerSecond = 1_000
/** Statuses from here on are no success. */
const leastRefusal = 400
/** Turns passed on by a peer are told to their client by that peer, and counted there. */
const ofPeers: ReadonlySet<unknown> = new Set<decisionLog.RequestKind>(['passedOnTurn'])
const gapEvents: ReadonlySet<string> = new Set(['linesLeftOut', 'linesDropped'])

interface End {
  readonly line: explainRequest.LogLine
  readonly request: string
  readonly timeMs: number
}

interface Sum {
  readonly kind: string
  readonly outcome: string
  readonly status: number
  readonly cause: string
  readonly example: string
  requests: number
  programsEnded: number
  totalMs: number
  readonly seconds: Map<number, number>
  readonly hosts: Map<string, number>
}

/** Takes lines one by one and reports once. */
export class LossFinder {
  private readonly causes = new boundedMap.BoundedMap<string, string>(mostRemembered)
  /** Ends of requests whose reasons may still come, in order of arrival. */
  private readonly waiting: End[] = []
  private newestMs = -Infinity
  /** The sum of the last request of each program, if that one failed. */
  private readonly lastOf = new boundedMap.BoundedMap<string, Sum | undefined>(mostRemembered)
  private readonly sums = new Map<string, Sum>()
  private startMs: number | undefined
  private requests = 0
  private programs = 0
  private gaps = 0

  take (line: explainRequest.LogLine): void {
    const timeMs = Date.parse(line.time)
    this.startMs ??= timeMs
    if (gapEvents.has(line.event)) this.gaps += 1
    if (line.request === undefined) return
    const cause = causeOf(line)
    if (cause !== undefined) this.causes.set(line.request, cause)
    if (line.event === 'ended' && !ofPeers.has(line['kind'])) this.waiting.push({ line, request: line.request, timeMs })
    this.newestMs = Math.max(this.newestMs, timeMs)
    this.takeEnds(this.newestMs - reasonLagMs)
  }

  report (): LossReport {
    this.takeEnds(Infinity)
    for (const sum of this.lastOf.values()) settle(sum)
    const sums = [...this.sums.values()].sort((a, b) => b.programsEnded - a.programsEnded || b.requests - a.requests)
    return {
      requests: this.requests,
      failed: total(sums, ({ requests }) => requests),
      programs: this.programs,
      programsEnded: total(sums, ({ programsEnded }) => programsEnded),
      unexplained: total(sums.filter(({ cause }) => cause === unexplained), ({ requests }) => requests),
      gaps: this.gaps,
      losses: sums.map(toLoss)
    }
  }

  private takeEnds (untilMs: number): void {
    const waits = this.waiting.findIndex(({ timeMs }) => timeMs > untilMs)
    for (const end of this.waiting.splice(0, waits === -1 ? this.waiting.length : waits)) this.takeEnd(end)
  }

  private takeEnd ({ line, request, timeMs }: End): void {
    const cause = this.causes.get(request)
    this.causes.delete(request)
    this.requests += 1
    const failed = isServed(line) ? undefined : this.add(line, request, cause ?? answeredBy(line), timeMs)
    if (typeof line['program'] === 'string') this.noteProgram(line['program'], failed)
  }

  private add (line: explainRequest.LogLine, request: string, cause: string, timeMs: number): Sum {
    const kind = String(line['kind'])
    const outcome = String(line['reason'] ?? line['outcome'])
    const status = Number(line['status'])
    const key = JSON.stringify([kind, outcome, status, cause])
    const sum = this.sums.get(key) ?? { kind, outcome, status, cause, example: request, requests: 0, programsEnded: 0, totalMs: 0, seconds: new Map<number, number>(), hosts: new Map<string, number>() }
    this.sums.set(key, sum)
    sum.requests += 1
    sum.totalMs += Number(line['tookMs'] ?? 0)
    countIn(sum.seconds, Math.floor((timeMs - (this.startMs ?? timeMs)) / msPerSecond))
    countIn(sum.hosts, line.host)
    return sum
  }

  private noteProgram (program: string, failed: Sum | undefined): void {
    if (!this.lastOf.has(program)) this.programs += 1
    settle(this.lastOf.set(program, failed))
  }
}

/** An answer that was passed back whole may still be a refusal of the program's owner. */
function isServed (line: explainRequest.LogLine): boolean {
  return line['outcome'] === 'whole' && Number(line['status']) < leastRefusal
}

/** A call is passed on as it was answered: without another reason its status is the upstream's own. */
function answeredBy (line: explainRequest.LogLine): string {
  return line['kind'] === 'call' && line['outcome'] === 'whole' ? 'the upstream answered so' : unexplained
}

/** What a line says of why its request may fail; later lines are nearer to the end. */
function causeOf (line: explainRequest.LogLine): string | undefined {
  switch (line.event as decisionLog.DecisionEvent) {
    case 'turnRefused': return `turn refused: ${String(line['reason'])}`
    case 'unknownRoute': return 'no route matches'
    case 'unknownKey': return 'no account has the key'
    case 'overLimit': return `account over its limit: ${String(line['part'])} requests, decided by the ${String(line['by'])}`
    case 'refusedAtShutdown': return 'host shutting down'
    case 'sendFailed': return `send failed: ${failureText(line['failure'])}`
    case 'upstreamSilent': return 'upstream silent'
    case 'timedOut': return 'no answer in time'
    case 'peerAnswerLost': return `owner of the program: ${String(line['cause'])}`
    case 'turnNotKept': return 'turn could not be kept'
    case 'streamBroken': return line['reason'] === 'clientGone' ? undefined : `stream broken: ${String(line['reason'])}`
    default: return undefined
  }
}

function failureText (failure: unknown): string {
  const { tag, message } = (failure ?? {}) as { readonly tag?: string, readonly message?: string }
  return [tag, message].filter((part) => part !== undefined).join(', ')
}

function settle (sum: Sum | undefined): void {
  if (sum !== undefined) sum.programsEnded += 1
}

function countIn<Key> (counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

function total<Item> (items: readonly Item[], valueOf: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0)
}

function most<Key> (counts: ReadonlyMap<Key, number>): Key {
  return [...counts].reduce((best, entry) => entry[1] > best[1] ? entry : best)[0]
}

function toLoss (sum: Sum): Loss {
  const { kind, outcome, status, cause, example, requests, programsEnded } = sum
  return { kind, outcome, status, cause, requests, programsEnded, meanMs: Math.round(sum.totalMs / requests), worstSecond: most(sum.seconds), worstHost: most(sum.hosts), example }
}
