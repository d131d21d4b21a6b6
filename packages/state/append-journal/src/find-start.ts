/** Finds where a process starts to read a stream, because a log may keep records for much longer than programs need them. */
import * as errors from '@eelgrasswind/errors'
import type * as logClient from '@eelgrasswind/log-client'
import type * as types from '@eelgrasswind/types'

/** Reads up to `limit` log records from an offset. */
export type ReadPage = (from: types.LogOffset, limit: number) => Promise<errors.Result<logClient.LogPage>>

/**
 * Finds the offset of the first record that the log appended at `oldestAt` or later, or of the next append if
 * there is none. Does a binary search that reads one record for each step.
 */
export async function findStartOffset (readPage: ReadPage, oldestAt: types.EpochMs): Promise<errors.Result<types.LogOffset>> {
  const firstPage = await readPage(0 as types.LogOffset, 1)
  if (!firstPage.ok) return firstPage
  let { first: low, next: high } = firstPage.value
  // The usual case: the log has already deleted older records, or the stream is new.
  if (firstPage.value.records[0] === undefined || firstPage.value.records[0].at >= oldestAt) return errors.ok(low)
  while (low < high) {
    const middle = Math.floor((low + high) / 2) as types.LogOffset
    const page = await readPage(middle, 1)
    if (!page.ok) return page
    const record = page.value.records[0]
    if (record === undefined || page.value.first > middle) low = Math.max(page.value.first, middle + 1) as types.LogOffset
    else if (record.at < oldestAt) low = middle + 1 as types.LogOffset
    else high = middle
  }
  return errors.ok(low)
}
