/** Log files of many processes, read line by line. */
import * as fs from 'node:fs'
import * as readline from 'node:readline'
import * as explainRequest from '@eelgrasswind/explain-request'
import type * as outcome from './outcome.js'

/** The failure that names the first file that is not there; `undefined` where all are. */
export function findMissing (files: readonly string[]): outcome.CliFailure | undefined {
  const file = files.find((name) => !fs.existsSync(name))
  return file === undefined ? undefined : { tag: 'unreadableFile', file, message: 'no such file' }
}

/** The log lines of one file in its own order; other text is passed over. */
export async function * readLines (file: string): AsyncGenerator<explainRequest.LogLine, void> {
  for await (const text of readline.createInterface({ input: fs.createReadStream(file) })) {
    const line = explainRequest.parseLine(text)
    if (line !== undefined) yield line
  }
}

/** The lines of all files in order of time, with one line of each file in memory. */
export async function * readInOrder (files: readonly string[]): AsyncGenerator<explainRequest.LogLine, void> {
  const open = files.map((file) => ({ lines: readLines(file), next: undefined as explainRequest.LogLine | undefined }))
  for (const source of open) source.next = await takeNext(source.lines)
  for (;;) {
    let first: typeof open[number] | undefined
    for (const source of open) {
      if (source.next !== undefined && (first?.next === undefined || source.next.time < first.next.time)) first = source
    }
    if (first?.next === undefined) return
    yield first.next
    first.next = await takeNext(first.lines)
  }
}

async function takeNext (lines: AsyncGenerator<explainRequest.LogLine, void>): Promise<explainRequest.LogLine | undefined> {
  const { value, done } = await lines.next()
  return done === true ? undefined : value
}
