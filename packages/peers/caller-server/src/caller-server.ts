/** HTTP server for callers: parses routes, authorizes requests and writes exactly one final response to each. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import * as bodyBudget from '@eelgrasswind/body-budget'
import * as drainServer from '@eelgrasswind/drain-server'
import * as errors from '@eelgrasswind/errors'
import * as limitConnections from '@eelgrasswind/limit-connections'
import * as listenServer from '@eelgrasswind/listen-server'
import type * as logger from '@eelgrasswind/logger'
import * as messageFraming from '@eelgrasswind/message-framing'
import * as types from '@eelgrasswind/types'
import * as answers from './answer-writer.js'
import type * as handlers from './caller-handlers.js'
import * as parse from './parse-request.js'
import * as readBody from './read-body.js'
import * as schema from './request-schema.js'

export interface CallerServerSettings {
  readonly bindAddress: string
  /** 0 selects a free port. */
  readonly port: number
  /** Longest wait for a taken port, in ms. */
  readonly listenTimeoutMs?: number
  readonly handlers: handlers.CallerHandlers
  readonly logger: logger.Logger
  /** Number of descriptors that the process may have open, by which connections are bounded. */
  readonly maxDescriptors: number
  /** Memory that the process may use, in MB, by which the bodies of all requests are bounded; `undefined` if it is not known. */
  readonly memoryMb: number | undefined
  /** Called for each connection that is closed because there are too many. */
  readonly onConnectionClosed: () => void
}

export interface CallerServer {
  readonly port: number
  /** Number of open connections. */
  readonly getConnectionCount: () => number
  /**
   * Stops accepting connections and resolves when the requests in flight are answered. New requests on existing
   * connections are refused with verdict notRun.
   */
  drain: () => Promise<void>
  /** Closes all connections at once; requests in flight get no response. */
  close: () => Promise<void>
}

type Route =
  | { readonly type: 'health' }
  | { readonly type: 'start', readonly program: types.ProgramId }
  | { readonly type: 'read', readonly program: types.ProgramId, readonly history: boolean }
  | { readonly type: 'finish', readonly program: types.ProgramId }
  | { readonly type: 'completion', readonly program: types.ProgramId }
  | { readonly type: 'service', readonly program: types.ProgramId, readonly service: types.ServiceId, readonly path: string }

/** A route whose requests have a body. */
type BodyRoute = Exclude<Route, { readonly type: 'health' | 'read' }>

interface ProgramRef {
  readonly program: types.ProgramId
  readonly client: types.ClientId
}

/** Timeout for receiving a complete request, in milliseconds. */
const requestTimeoutMs = 30_000
/** Size of a large answer, in bytes, by which answers that callers do not read are bounded: the default limit of a sidecar. */
const maxAnswerBytes = 4_194_304
/** Retry-after time of a request refused during shutdown, in milliseconds; the retry should go to another entry. */
const shutdownRetryAfterMs = 500

const shuttingDownFailure: errors.Failure = { tag: 'shuttingDown', verdict: 'notRun', message: 'this entry is shutting down', retryAfterMs: shutdownRetryAfterMs }
const notFound: errors.Failure = { tag: 'unknownTarget', verdict: 'notRun', message: 'no such path or method', field: 'path' }

function parseRoute (method: string, url: string): errors.Result<Route> {
  const path = url.split('?', 1)[0]!
  if (method === 'GET' && path === '/v1/health') return errors.ok({ type: 'health' })
  const parts = path.split('/')
  if (parts[1] !== 'v1' || parts[2] !== 'programs' || parts[3] === undefined) return errors.fail(notFound)
  const program = parts[3]
  if (!types.isId(program)) return errors.fail(schema.createInvalidRequest('program', 'letters, digits and . _ ~ -, at most 128, beginning with a letter or digit'))
  const route = parseProgramRoute(method, program as types.ProgramId, parts.slice(4))
  return route === undefined ? errors.fail(notFound) : errors.ok(route)
}

function parseProgramRoute (method: string, program: types.ProgramId, rest: readonly string[]): Route | undefined {
  const name = `${method} ${rest.slice(0, 2).join('/')}`
  switch (name) {
    case 'PUT ': return { type: 'start', program }
    case 'GET ': return { type: 'read', program, history: false }
    case 'GET history': return { type: 'read', program, history: true }
    case 'POST finish': return { type: 'finish', program }
    case 'POST chat/completions': return rest.length === 2 ? { type: 'completion', program } : undefined
    default: return method === 'POST' ? parseServiceRoute(program, rest) : undefined
  }
}

function parseServiceRoute (program: types.ProgramId, rest: readonly string[]): Route | undefined {
  const [first, service, ...path] = rest
  if (first !== 'services' || !types.isId(service)) return undefined
  return { type: 'service', program, service: service as types.ServiceId, path: `/${path.join('/')}` }
}

function parseBearerToken (req: http.IncomingMessage): string | undefined {
  const value = req.headers.authorization
  return value?.startsWith('Bearer ') === true ? value.slice('Bearer '.length) : undefined
}

function getRequestContext (req: http.IncomingMessage): types.RequestContext {
  const value = req.headers.traceparent
  return { traceparent: typeof value === 'string' ? value : '' }
}

/** Sink for calls whose answer is not streamed. */
const discardingSink: types.CallSink = { wholeOnly: true, onPlaced: () => undefined, onDelta: () => undefined }

/** Starts listening; waits while the port is taken. */
export async function startCallerServer (settings: CallerServerSettings): Promise<CallerServer> {
  const callerHandlers = settings.handlers
  let isDraining = false
  const budget = new bodyBudget.BodyBudget(0)
  const pool = new messageFraming.BlockPool()
  const maxUnreadBytes = bodyBudget.computeMaxBytes(settings.memoryMb, maxAnswerBytes)
  const unread: drainServer.UnreadLimits = {
    getMaxBytes: () => maxUnreadBytes,
    onEnd: (end) => { settings.logger.warn({ ...end }, 'a caller reads no answers; closed its connection') }
  }
  const callers = drainServer.createDrainServer({ requestTimeout: requestTimeoutMs, unread }, (req, res) => {
    serve(req, res).catch((err: unknown) => {
      settings.logger.error({ err }, 'request failed')
      if (res.headersSent) res.destroy()
      else answers.writeFailure(res, errors.toFailure(err))
    })
  })

  const { server } = callers
  const connections = limitConnections.limitConnections(server, limitConnections.getClientConnectionBound(settings.maxDescriptors), settings.onConnectionClosed)

  async function serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const route = parseRoute(req.method ?? '', req.url ?? '')
    if (!route.ok) return refuse(req, res, route.failure)
    if (isDraining) return refuse(req, res, shuttingDownFailure)
    if (route.value.type === 'health') return answers.writeJson(res, 200, { state: 'live' })
    const client = callerHandlers.authorize(parseBearerToken(req))
    if (!client.ok) return refuse(req, res, client.failure)
    await serveProgram(route.value, client.value, req, res)
  }

  function refuse (req: http.IncomingMessage, res: http.ServerResponse, failure: errors.Failure): void {
    req.resume()
    answers.writeFailure(res, failure)
  }

  async function serveProgram (route: Exclude<Route, { type: 'health' }>, client: types.ClientId, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const programRef = { program: route.program, client }
    if (route.type === 'read') return writeProgram(res, await callerHandlers.read(programRef.program, client, route.history), 200)
    const maxBytes = callerHandlers.getMaxBodyBytes()
    budget.setMaxBytes(bodyBudget.computeMaxBytes(settings.memoryMb, maxBytes))
    const body = await readBody.readJson(req, res, { maxBytes, budget, pool })
    if (!body.ok) return answers.writeFailure(res, body.failure)
    try {
      await serveBody(route, programRef, body.value.value, req, res)
    } finally {
      // The response is closed only once its caller has read it, and those before it on its connection.
      body.value.release()
    }
  }

  async function serveBody (route: BodyRoute, programRef: ProgramRef, body: unknown, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    // The time that is left may be too short by now.
    if (isDraining) return answers.writeFailure(res, shuttingDownFailure)
    switch (route.type) {
      case 'start': return await serveStart(programRef, body, req, res)
      case 'finish': return await serveFinish(programRef, body, req, res)
      case 'completion': return await serveCompletion(programRef, body, req, res)
      case 'service': return await serveService(programRef, route, body, req, res)
      default: return errors.assertNever(route)
    }
  }

  function writeProgram (res: http.ServerResponse, result: errors.Result<types.ProgramDocument>, status: number): void {
    if (!result.ok) return answers.writeFailure(res, result.failure)
    const { summary, history } = result.value
    answers.writeJson(res, status, history === null ? { program: summary } : { program: summary, history })
  }

  async function serveStart (programRef: ProgramRef, body: unknown, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const start = parse.parseStart(programRef, body)
    if (!start.ok) return answers.writeFailure(res, start.failure)
    writeProgram(res, await callerHandlers.start(start.value, getRequestContext(req)), 201)
  }

  async function serveFinish (programRef: ProgramRef, body: unknown, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const finish = schema.validate(schema.finishBody, body)
    if (!finish.ok) return answers.writeFailure(res, finish.failure)
    writeProgram(res, await callerHandlers.finish(programRef.program, programRef.client, finish.value.result, getRequestContext(req)), 200)
  }

  async function serveCompletion (programRef: ProgramRef, body: unknown, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const parsed = parse.parseCompletion(programRef, req.headers, body)
    if (!parsed.ok) return answers.writeFailure(res, parsed.failure)
    const { call, stream } = parsed.value
    const model = call.target.type === 'model' ? call.target.model : '' as types.ModelId
    if (stream) {
      const events = new answers.CompletionStream(res, call.key, model)
      events.end(await callerHandlers.call(call, getRequestContext(req), events))
      return
    }
    const result = await callerHandlers.call(call, getRequestContext(req), discardingSink)
    if (result.ok) answers.writeCompletionAnswer(res, result.value, model)
    else answers.writeFailure(res, result.failure)
  }

  async function serveService (programRef: ProgramRef, route: Extract<Route, { type: 'service' }>, body: unknown, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const call = parse.parseServiceCall(programRef, req.headers, route.service, route.path, body)
    if (!call.ok) return answers.writeFailure(res, call.failure)
    const result = await callerHandlers.call(call.value, getRequestContext(req), discardingSink)
    if (result.ok) answers.writeServiceAnswer(res, result.value)
    else answers.writeFailure(res, result.failure)
  }

  await listenServer.listen(server, {
    listener: 'caller',
    host: settings.bindAddress,
    port: settings.port,
    timeoutMs: settings.listenTimeoutMs ?? listenServer.defaultListenTimeoutMs,
    report: listenServer.createEventLog(settings.logger)
  })

  function closeServer (): Promise<void> {
    return new Promise((resolve) => { server.close(() => resolve()) })
  }

  async function drain (): Promise<void> {
    isDraining = true
    callers.startDraining()
    await closeServer()
  }

  async function close (): Promise<void> {
    const closed = closeServer()
    server.closeAllConnections()
    await closed
  }

  return { port: (server.address() as net.AddressInfo).port, getConnectionCount: () => connections.openCount, drain, close }
}
