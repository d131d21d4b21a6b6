/** The host list client over HTTP. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as errors from '@eelgrasswind/errors'
import * as timerService from '@eelgrasswind/timer-service'
import * as types from '@eelgrasswind/types'
import type * as hostListClient from './host-list-client.js'

const maxAnswerBytes = 8 * 1024 * 1024

function isHostEntry (value: unknown): value is types.HostEntry {
  if (typeof value !== 'object' || value === null) return false
  const entry = value as Readonly<Record<string, unknown>>
  return types.isId(entry['host']) &&
    types.isId(entry['region']) &&
    types.isId(entry['availabilityZone']) &&
    typeof entry['address'] === 'string' &&
    (entry['role'] === 'entry' || entry['role'] === 'sidecar') &&
    (entry['state'] === 'live' || entry['state'] === 'leaving')
}

function parseList (body: Buffer): types.HostList | undefined {
  try {
    const list = JSON.parse(body.toString('utf8')) as Readonly<Record<string, unknown>> | null
    const version = list?.['version']
    const hosts = list?.['hosts']
    if (!Number.isSafeInteger(version) || !Array.isArray(hosts) || !hosts.every(isHostEntry)) return undefined
    return { version: version as number, hosts }
  } catch {
    return undefined
  }
}

function unavailable (verdict: types.Verdict, message: string, retryAfterMs: number): errors.Failure {
  return { tag: 'peerUnavailable', verdict, message, retryAfterMs }
}

/** Connects on the first read and keeps the connection for the next one. */
export function createHostListClient (settings: hostListClient.HostListSettings): hostListClient.HostListClient {
  const timers = settings.timers ?? timerService.createRealTimers()
  const timeout = { after: timers.after, ms: settings.timeoutMs }
  const client = new undici.Pool(settings.address, { ...errors.poolOptions, connections: 1 })

  async function read (): Promise<errors.Result<types.HostList>> {
    const requestId = crypto.randomUUID()
    const end = await errors.runExchange({ requestId, maxBytes: maxAnswerBytes, timeout }, (handler) => {
      client.dispatch({ path: '/v1/hosts', method: 'GET', headers: ['x-request-id', requestId] }, handler)
    })
    if (end.type !== 'answered') return errors.fail(unavailable(errors.getVerdict(end), errors.describeOutcome(end), errors.defaultRetryAfterMs))
    if (end.status !== 200) return errors.fail(unavailable('notRun', `the host list answered ${end.status}`, errors.parseRetryAfterMs(end.headers)))
    const list = parseList(end.body)
    if (list === undefined) return errors.fail({ tag: 'answerBroken', verdict: 'ran', message: 'the answer is no host list', detail: 'invalid' })
    return errors.ok(list)
  }

  return { read, close: () => client.close() }
}
