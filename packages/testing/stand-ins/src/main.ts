/** Runs one stand-in as a process: argv holds its settings as JSON, stdout gets one line with its address. */
import * as errors from '@eelgrasswind/errors'
import * as zod from 'zod'
import * as engineMessages from './engine-messages.js'
import * as engine from './engine-stand-in.js'
import * as hostList from './host-list-stand-in.js'
import * as log from './log-stand-in.js'
import * as service from './service-stand-in.js'
import * as weightStore from './weight-store-stand-in.js'

const processSettings = zod.discriminatedUnion('kind', [
  log.logSettings.extend({ kind: zod.literal('log') }),
  hostList.hostListSettings.extend({ kind: zod.literal('hostList') }),
  engineMessages.engineSettings.extend({ kind: zod.literal('engine') }),
  service.serviceSettings.extend({ kind: zod.literal('service') }),
  weightStore.weightStoreSettings.extend({ kind: zod.literal('weightStore') })
])

interface StandIn {
  readonly address: string
  close: () => Promise<void>
}

async function start (settings: zod.infer<typeof processSettings>): Promise<StandIn> {
  switch (settings.kind) {
    case 'log':
      return await log.createLogStandIn(settings)
    case 'hostList':
      return await hostList.createHostListStandIn(settings)
    case 'engine':
      return await engine.createEngineStandIn(settings)
    case 'service':
      return await service.createServiceStandIn(settings)
    case 'weightStore':
      return await weightStore.createWeightStoreStandIn(settings)
    default:
      return errors.assertNever(settings)
  }
}

const settings = processSettings.parse(JSON.parse(process.argv[2] ?? '{}'))
const standIn = await start(settings)
process.stdout.write(JSON.stringify({ ready: true, kind: settings.kind, address: standIn.address, pid: process.pid }) + '\n')
process.once('SIGTERM', () => { standIn.close().then(() => process.exit(0), () => process.exit(1)) })
