/** Decides whether what was read of a settings file is all of it. */
import type * as errors from '@eelgrasswind/errors'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as z from 'zod'

/** What was read: the text of the file, or the error of the read. */
export type FileContent = errors.Result<string, Error>

/** Outcome of one read of a settings file; each reason names the file. */
export type SettingsRead<T> =
  | { readonly type: 'whole', readonly settings: T }
  /** The file is missing, can't be read, or its text has syntax errors, as a file that is being written. */
  | { readonly type: 'incomplete', readonly reason: string }
  /** The document is whole, and a field of it is invalid. */
  | { readonly type: 'invalid', readonly reason: string }

/** Classifies one read. Settings are an object, so no part that lacks its end is free of syntax errors. */
export function classifySettings<T> (content: FileContent, schema: z.ZodType<T>, file: string): SettingsRead<T> {
  if (!content.ok) return { type: 'incomplete', reason: `${file}: ${content.failure.message}` }
  const parsed = parseSettings.parseSettings(content.value, schema, file)
  if (parsed.ok) return { type: 'whole', settings: parsed.value }
  const type = parsed.failure.every(({ kind }) => kind === 'syntax') ? 'incomplete' : 'invalid'
  return { type, reason: parseSettings.formatSettingsErrors(parsed.failure) }
}
