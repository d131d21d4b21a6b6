/** Host list client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import type * as hostListClient from './host-list-client.js'

const maxAnswerBytes = 8 * 1024 * 1024

function isHttpAddress (value: unknown): boolean {
  return typeof value === 'string' && URL.canParse(value) && new URL(value).protocol === 'http:'
}

function isHostEntry (value: unknown): value is types.HostEntry {
  if (typeof value !== 'object' || value === null) return false
  const entry = value as Readonly<Record<string, unknown>>
  return types.isId(entry['host']) &&
    types.isId(entry['region']) &&
    types.isId(entry['availabilityZone']) &&
    isHttpAddress(entry['address']) &&
    (entry['role'] === 'entry' || entry['role'] === 'sidecar') &&
    (entry['state'] === 'live' || entry['state'] === 'leaving')
}

/** A list, and the number of its entries that can't be read: these name no host, the others hold. */
interface ParsedList {
  readonly list: types.HostList
  readonly unreadable: number
}

function parseHostList (body: Buffer): ParsedList | undefined {
  try {
    const list = JSON.parse(body.toString('utf8')) as Readonly<Record<string, unknown>> | null
    const version = list?.['version']
    const hosts = list?.['hosts']
    if (!Number.isSafeInteger(version) || !Array.isArray(hosts)) return undefined
    const readable = hosts.filter(isHostEntry)
    return { list: { version: version as number, hosts: readable }, unreadable: hosts.length - readable.length }
  } catch {
    return undefined
  }
}

function createUnavailableFailure (verdict: types.Verdict, message: string, retryAfterMs: number): errors.Failure {
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs }
}

/** Creates a host list client. It connects on the first read and reuses the connection. */
export function createHostListClient (settings: hostListClient.HostListSettings): hostListClient.HostListClient {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const pool = new undici.Pool(settings.address, { ...errors.createPoolOptions(undici.buildConnector), connections: 1 })

  let lastUnreadable = 0
  function noteUnreadable (count: number): void {
    if (count !== lastUnreadable) settings.onUnreadable?.(count)
    lastUnreadable = count
  }

  async function read (): Promise<errors.Result<types.HostList>> {
    const requestId = crypto.randomUUID()
    const outcome = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      pool.dispatch({ path: '/v1/hosts', method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (outcome.type !== 'answered') return errors.fail(createUnavailableFailure(errors.getVerdict(outcome), errors.describeOutcome(outcome), errors.defaultRetryAfterMs))
    if (outcome.status !== 200) return errors.fail(createUnavailableFailure('notRun', `the host list answered ${outcome.status}`, errors.parseRetryAfterMs(outcome.headers)))
    const parsed = parseHostList(outcome.body)
    if (parsed === undefined) return errors.fail({ tag: 'answerBroken', verdict: 'ran', message: 'the answer is not a valid host list', detail: 'invalid' })
    noteUnreadable(parsed.unreadable)
    return errors.ok(parsed.list)
  }

  return { read, close: () => pool.close() }
}
