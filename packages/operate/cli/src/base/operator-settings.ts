/** Settings of the operator's command line: addresses of the platform, from a file and from options. */
import * as fs from 'node:fs'
import * as configState from '@eelgrasswind/config-state'
import * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as z from 'zod'
import type * as outcome from './outcome.js'

/** Environment variable that names the settings file where no option does. */
export const settingsVariable = 'EELGRASSWIND_SETTINGS'

const address = z.string().refine(configState.isAddress, 'an address as http://IP:PORT')

function timeout (description: string, value: number) {
  return z.number().int().min(1).max(600_000).default(value).meta({ description, unit: 'ms' })
}

export const operatorSettings = z.strictObject({
  name: z.string().min(1).max(128).optional().describe('Name written into changes; by default the name of the user.'),
  log: z.strictObject({
    address: address.optional().describe('The platform\'s log service, as http://IP:PORT.'),
    timeoutMs: timeout('After this an answer of the log counts as lost.', 3000)
  }).prefault({}).describe('The platform\'s log.'),
  hostList: z.strictObject({
    address: address.optional().describe('The platform\'s host list, as http://IP:PORT.'),
    timeoutMs: timeout('After this an answer of the host list counts as lost.', 3000)
  }).prefault({}).describe('The platform\'s host list.'),
  hostTimeoutMs: timeout('After this a host counts as out of reach.', 2000),
  publishLimitMs: timeout('Longest wait for the fate of a published change.', 30_000)
})

export type OperatorSettings = z.output<typeof operatorSettings>

/** Reads a file as text. */
export function readFile (file: string): errors.Result<string, outcome.CliFailure> {
  try {
    return errors.ok(fs.readFileSync(file, 'utf8'))
  } catch (err) {
    return errors.fail({ tag: 'unreadableFile', file, message: (err as Error).message })
  }
}

/** Reads a file against a schema. */
export function readSettings<T> (file: string, schema: z.ZodType<T>): errors.Result<T, outcome.CliFailure> {
  const text = readFile(file)
  if (!text.ok) return text
  const parsed = parseSettings.parseSettings(text.value, schema, file)
  return parsed.ok ? parsed : errors.fail({ tag: 'invalidSettings', errors: parsed.failure })
}

/** Options of the command line that go before the file. */
export interface PlatformOptions {
  readonly settings: string | undefined
  readonly log: string | undefined
  readonly hostList: string | undefined
}

function withOptions (found: OperatorSettings, options: PlatformOptions): OperatorSettings {
  return {
    ...found,
    log: { ...found.log, ...(options.log === undefined ? {} : { address: options.log }) },
    hostList: { ...found.hostList, ...(options.hostList === undefined ? {} : { address: options.hostList }) }
  }
}

/** The settings of the file, with the options in the place of what it says. */
export function resolveSettings (options: PlatformOptions, env: Readonly<Record<string, string | undefined>>): errors.Result<OperatorSettings, outcome.CliFailure> {
  for (const [name, value] of [['--log', options.log], ['--host-list', options.hostList]] as const) {
    if (value !== undefined && !configState.isAddress(value)) return errors.fail({ tag: 'usage', message: `${name}: expected an address as http://IP:PORT, found ${JSON.stringify(value)}` })
  }
  const file = options.settings ?? env[settingsVariable]
  const found = file === undefined ? errors.ok(operatorSettings.parse({})) : readSettings(file, operatorSettings)
  return found.ok ? errors.ok(withOptions(found.value, options)) : found
}

/** The address of the log or the host list, which the command cannot do without. */
export function requireAddress (found: OperatorSettings, part: 'log' | 'hostList'): errors.Result<string, outcome.CliFailure> {
  const address = found[part].address
  if (address !== undefined) return errors.ok(address)
  const option = part === 'log' ? '--log' : '--host-list'
  return errors.fail({ tag: 'usage', message: `no address of the ${part === 'log' ? 'log' : 'host list'}: give ${option} http://IP:PORT, or ${part}.address in a file named by --settings or ${settingsVariable}` })
}
