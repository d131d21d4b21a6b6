/** The page of reference of all settings, made from their schemas. */
import * as cli from '@eelgrasswind/cli'
import * as configState from '@eelgrasswind/config-state'
import * as entry from '@eelgrasswind/entry'
import * as front from '@eelgrasswind/front'
import * as parseSettings from '@eelgrasswind/parse-settings'
import * as sidecar from '@eelgrasswind/sidecar'
import type * as z from 'zod'

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
    schema: cli.operatorSettings
  },
  {
    title: 'Entry settings',
    text: 'One file for each entry process, named by `eelgrasswind-entry --settings FILE`. Samples: `samples/dimasalang/entry.jsonc`, `samples/shagyl/entry.jsonc`. A process takes a change at its next start.',
    schema: entry.entrySettings
  },
  {
    title: 'Sidecar settings',
    text: 'One file for each sidecar, named by `eelgrasswind-sidecar --settings FILE`. Samples: `samples/dimasalang/sidecar.jsonc`, `samples/shagyl/sidecar.jsonc`. A process takes a change at its next start.',
    schema: sidecar.sidecarSettings
  },
  {
    title: 'Front settings',
    text: 'One file for each front, rendered by the platform from `deploy/settings.jsonc.tmpl`. `node target/eelgrasswind-front.mjs --check` checks it. A process takes a change at its next start.',
    schema: front.frontSettings
  }
]

function formatChapter (chapter: Chapter): string {
  const table = parseSettings.formatSettingRows(parseSettings.describeSchema(chapter.schema))
  return `## ${chapter.title}\n\n${chapter.text}\n\n${table}`
}

const introduction = `# Settings

Made from the schemas by \`node packages/testing/demo/dist/src/write-settings.js\`; a test compares this page with them.

Files are JSON with comments and trailing commas. A field without a default must be given. \`<id>\` stands for an id: letters, digits and \`. _ ~ -\`, at most 128 characters.
`

/** The text of docs/settings.md. */
export function settingsReference (): string {
  return [introduction, ...chapters.map(formatChapter)].join('\n')
}
