/** Starts the whole system on embedded stand-ins, runs one kit order program, prints it, and ends. */
import type * as callerClient from '@eelgrasswind/caller-client'
import * as testUtils from '@eelgrasswind/test-utils'
import * as kitOrder from './kit-order.js'
import * as scopes from './scope.js'

const scope = scopes.createScope()
let exitCode = 1
try {
  const startedAt = performance.now()
  const system = await testUtils.startSystem(scope, testUtils.smallPlan)
  console.log(`started: ${system.entries.size} entries, ${system.sidecars.size} sidecars, ${system.engines.size} engines, ${system.services.size} service, log and host list (${Math.round(performance.now() - startedAt)} ms)`)
  const callers: readonly callerClient.CallerClient[] = [system.caller(0), system.caller(1)]
  await kitOrder.runKitOrder(callers, (line) => console.log(line))
  exitCode = 0
} catch (err) {
  console.error(err)
} finally {
  await scope.close()
}
console.log(exitCode === 0 ? 'done: every process has ended' : 'failed')
process.exit(exitCode)
