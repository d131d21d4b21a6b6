/** Closes listeners at the end of a process. */
import type * as http from 'node:http'

/** Closes the servers with all of their connections. */
export function closeServers (servers: readonly http.Server[]): void {
  for (const server of servers) {
    server.close()
    server.closeAllConnections()
  }
}
