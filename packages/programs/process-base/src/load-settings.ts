/** Parses the command line and loads the settings file it names. */
import * as fs from 'node:fs'
import * as util from 'node:util'
import * as settingsFiles from '@eelgrasswind/settings-file'
import type * as z from 'zod'

/** Outcome of loading the settings. */
export type LoadedSettings<T> =
  | { readonly type: 'run', readonly settings: T }
  /** Don't start: print the text and exit with the code. The reason is given unless the process was only to check or to help. */
  | { readonly type: 'exit', readonly code: number, readonly text: string, readonly reason?: string }

const exitInvalid = 1
const exitUsage = 2

/** What the command line asks for. */
type Command =
  | { readonly type: 'run' | 'check', readonly file: string }
  | { readonly type: 'exit', readonly code: number, readonly text: string, readonly reason?: string }

function parseCommand (binary: string, args: readonly string[]): Command {
  const usage = `usage: ${binary} --settings FILE [--check]\n\n  --settings FILE  settings in JSON with comments, see docs/settings.md\n  --check          check the settings and exit\n`
  let values: { settings?: string | undefined, check?: boolean | undefined, help?: boolean | undefined }
  try {
    values = util.parseArgs({ args: [...args], options: { settings: { type: 'string' }, check: { type: 'boolean' }, help: { type: 'boolean' } } }).values
  } catch (err) {
    const reason = (err as Error).message
    return { type: 'exit', code: exitUsage, text: `${reason}\n${usage}`, reason }
  }
  if (values.help === true) return { type: 'exit', code: 0, text: usage }
  if (values.settings === undefined) return { type: 'exit', code: exitUsage, text: usage, reason: 'no settings file is given' }
  return { type: values.check === true ? 'check' : 'run', file: values.settings }
}

/** Loads the settings. Accepts `--settings FILE`, `--check` and `--help`; waits for an incomplete file unless it is only checked. */
export async function loadSettings<T> (binary: string, args: readonly string[], schema: z.ZodType<T>, ports: settingsFiles.AwaitSettingsPorts): Promise<LoadedSettings<T>> {
  const command = parseCommand(binary, args)
  if (command.type === 'exit') return command
  const source = toSource(command.file, schema)
  if (command.type === 'check') return reportCheck(source)
  const found = await settingsFiles.awaitSettings(source, ports)
  if (found.type === 'whole') return { type: 'run', settings: found.settings }
  return { type: 'exit', code: exitInvalid, text: `${found.reason}\n`, reason: found.reason }
}

function toSource<T> (file: string, schema: z.ZodType<T>): settingsFiles.SettingsSource<T> {
  return { file, read: () => fs.readFileSync(file, 'utf8'), schema }
}

function reportCheck<T> (source: settingsFiles.SettingsSource<T>): LoadedSettings<T> {
  const found = settingsFiles.readSettings(source)
  if (found.type === 'whole') return { type: 'exit', code: 0, text: `${source.file}: ok\n` }
  return { type: 'exit', code: exitInvalid, text: `${found.reason}\n` }
}

/** Checks the settings file again on a reload signal. Changes take effect at the next start only. */
export function recheckSettings<T> ({ binary, args, schema }: { readonly binary: string, readonly args: readonly string[], readonly schema: z.ZodType<T> }): string {
  const command = parseCommand(binary, args)
  if (command.type === 'exit') return command.text.trim()
  const found = settingsFiles.readSettings(toSource(command.file, schema))
  return found.type === 'whole' ? `${command.file}: ok` : found.reason
}
