/** Where a process begins to read a stream: a log may keep records for much longer than programs need them. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as types from '@eelgrasswind/types'

export type ReadPage = (from: types.LogOffset, limit: number) => Promise<errors.Result<logClient.LogPage>>

/**
 * Offset of the first record that the log took at `oldest` or later, or of the next append where there is none.
 * Reads one record for each halving of the stream.
 */
export async function findStart (readPage: ReadPage, oldest: types.EpochMs): Promise<errors.Result<types.LogOffset>> {
  const start = await readPage(0 as types.LogOffset, 1)
  if (!start.ok) return start
  let { first: low, next: high } = start.value
  // Most streams of a log that keeps no more than that, or are young.
  if (start.value.records[0] === undefined || start.value.records[0].at >= oldest) return errors.ok(low)
  while (low < high) {
    const middle = Math.floor((low + high) / 2) as types.LogOffset
    const page = await readPage(middle, 1)
    if (!page.ok) return page
    const record = page.value.records[0]
    if (record === undefined || page.value.first > middle) low = Math.max(page.value.first, middle + 1) as types.LogOffset
    else if (record.at < oldest) low = middle + 1 as types.LogOffset
    else high = middle
  }
  return errors.ok(low)
}
