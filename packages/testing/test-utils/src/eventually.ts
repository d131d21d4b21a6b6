/** Waiting for what other processes do, in tests. */

/** How often a check is made, in milliseconds. */
const periodMs = 20

/** Runs a check until it gives something other than false and undefined; fails with the last error after the timeout. */
export async function eventually<T> (check: () => T | Promise<T>, timeoutMs = 10_000): Promise<Exclude<T, false | undefined>> {
  const until = performance.now() + timeoutMs
  let last: unknown = new Error('the check gave nothing')
  do {
    try {
      const value = await check()
      if (value !== false && value !== undefined) return value as Exclude<T, false | undefined>
    } catch (err) {
      last = err
    }
    await new Promise((resolve) => { setTimeout(resolve, periodMs) })
  } while (performance.now() < until)
  throw new Error(`not within ${timeoutMs} ms`, { cause: last })
}
