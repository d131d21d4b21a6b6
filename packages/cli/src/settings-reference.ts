/** The page of reference of all settings, made from their schemas. */
import * as configState from '@eelgrasswind/config-state'
import * as parseSettings from '@eelgrasswind/parse-settings'
import type * as z from 'zod'
import * as operatorSettings from './base/operator-settings.js'

interface Chapter {
  readonly title: string
  readonly text: string
  readonly schema: z.ZodType
}

const chapters: readonly Chapter[] = [
  {
    title: 'Published configuration',
    text: 'One document for the whole system, published by `eelgrasswind config publish`. Samples: `samples/dimasalang/config.jsonc`, `samples/shagyl/config.jsonc`.',
    schema: configState.documentShape
  },
  {
    title: 'Operator settings',
    text: 'Addresses for the `eelgrasswind` command, in a file named by `--settings` or the variable `EELGRASSWIND_SETTINGS`. Sample: `samples/dimasalang/operator.jsonc`.',
    schema: operatorSettings.operatorSettings
  }
]

function formatChapter (chapter: Chapter): string {
  const table = parseSettings.formatSettingRows(parseSettings.describeSchema(chapter.schema))
  return `## ${chapter.title}\n\n${chapter.text}\n\n${table}`
}

const introduction = `# Settings

Made from the schemas by \`node packages/cli/dist/src/write-settings.js\`; a test compares this page with them.

Files are JSON with comments and trailing commas. A field without a default must be given. \`<id>\` stands for an id: letters, digits and \`. _ ~ -\`, at most 128 characters.
`

/** The text of docs/settings.md. */
export function settingsReference (): string {
  return [introduction, ...chapters.map(formatChapter)].join('\n')
}
