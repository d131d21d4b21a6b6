/** Explains one request from log files. */
import * as errors from '@eelgrasswind/errors'
import * as explainRequests from '@eelgrasswind/explain-request'
import * as logFiles from '../../base/log-files.js'
import type * as outcome from '../../base/outcome.js'
import * as table from '../../base/table.js'

const headings = ['TIME', 'HOST', 'EVENT', 'ABOUT', 'FIELDS']

export async function explainRequest (request: string, files: readonly string[]): Promise<outcome.CliResult> {
  const missing = logFiles.findMissing(files)
  if (missing !== undefined) return errors.fail(missing)
  const lines: explainRequests.LogLine[] = []
  for (const file of files) {
    for await (const line of logFiles.readLines(file)) lines.push(line)
  }
  const story = explainRequests.explainRequest(lines, request)
  if (story.lines.length === 0) return errors.fail({ tag: 'notFound', message: `no line in ${files.length} files is about request ${request}` })
  const rows = story.lines.map(({ time, host, event, about, fields }) => [time, host, event, about, JSON.stringify(fields)])
  const gaps = story.gaps === 0 ? '' : `\n${story.gaps} lines say that others were left out: the story may have gaps`
  return errors.ok({ text: table.formatTable(headings, rows) + gaps, json: { request, ...story } })
}
