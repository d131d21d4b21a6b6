/** HTTP server for health checks and metrics: few clients, requests without a body. */
import type * as http from 'node:http'
import type * as decisionLog from '@eelgrasswind/decision-log'
import * as drainServer from '@eelgrasswind/drain-server'
import * as limitConnections from '@eelgrasswind/limit-connections'
import * as limitListener from './limit-listener.js'

/** Timeout for receiving a complete request, in ms. */
const requestTimeoutMs = 5_000

/** Limit of the answers that wait for clients to read them, in bytes of all connections: some hundred tables of metrics. */
const maxUnreadBytes = 8_388_608

/** Creates a server, which does not listen yet. */
export function createProbeServer (ports: limitListener.LimitListenerPorts, listener: decisionLog.ClientListener, onRequest: http.RequestListener): http.Server {
  const { server } = drainServer.createDrainServer({ headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs, unread: { getMaxBytes: () => maxUnreadBytes } }, onRequest)
  limitListener.limitListener(ports, listener, server, limitConnections.maxProbeConnections)
  return server
}
