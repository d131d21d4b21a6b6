/** One kit order: a quote that streams, a stock check by a sub-agent, a print order that must not repeat, and a summary. */
import type * as callerClient from '@eelgrasswind/caller-client'
import type * as types from '@eelgrasswind/types'

const model = 'quote-8b'
const service = 'kit-orders'

type Print = (line: string) => void

function need<T> (step: string, result: callerClient.CallerResult<T>): T {
  if (result.ok) return result.value
  throw new Error(`${step}: ${result.failure.code}, ${result.failure.verdict}: ${result.failure.message}`)
}

function ms (value: number): string {
  return `${value.toFixed(1)} ms`.padStart(9)
}

function printCall (print: Print, step: string, entry: number, seal: callerClient.AnswerTrailer, firstMs: number | undefined, totalMs: number): void {
  const first = firstMs === undefined ? '' : `, first text ${ms(firstMs).trim()}`
  print(`${ms(totalMs)}  ${step}: ${seal.branch}/${seal.seq} via entry ${entry + 1} to ${seal.upstream}${first}, ${seal.length} characters, sha256 ${seal.sha256.slice(0, 8)}`)
}

function printHistory (print: Print, history: readonly types.Turn[]): void {
  print('history:')
  for (const turn of history) {
    const target = turn.target.type === 'model' ? turn.target.model : `${turn.target.service}${turn.target.path}`
    print(`  ${turn.branch}/${turn.seq}  ${turn.key}  ${target}  ${turn.outcome.type}  ${turn.usage.tokens} tokens`)
  }
}

/** Each request goes through another entry than the one before. */
export async function runKitOrder (callers: readonly callerClient.CallerClient[], print: Print): Promise<void> {
  const program = `kit-order-${Date.now()}`
  let requests = 0
  const next = (): { entry: number, caller: callerClient.CallerClient } => {
    const entry = requests++ % callers.length
    return { entry, caller: callers[entry]! }
  }

  const begin = next()
  const startedAt = performance.now()
  need('start', await begin.caller.start(program, { kind: 'roster-walk', deadline: Date.now() + 600_000 }))
  print(`${ms(performance.now() - startedAt)}  started ${program} via entry ${begin.entry + 1}`)

  const quote = next()
  const quoted = need('quote', await quote.caller.complete(program, { model, messages: [{ role: 'user', content: 'Size 24 jerseys for a barangay league.' }], maxTokens: 64 }, { key: 'quote', seq: 1 }))
  printCall(print, 'quote, streamed', quote.entry, quoted.trailer, quoted.firstTextMs, quoted.totalMs)

  const stock = next()
  const checked = need('stock check', await stock.caller.complete(program, { model, messages: [{ role: 'user', content: 'Is navy cloth in stock?' }], maxTokens: 32 }, { key: 'stock', branch: 'stock-check', seq: 1 }))
  printCall(print, 'stock check by a sub-agent', stock.entry, checked.trailer, checked.firstTextMs, checked.totalMs)

  const print1 = next()
  const order = { jerseys: 24, colour: 'navy' }
  const place = { key: 'print-1', seq: 2, idempotent: false }
  const printed = need('print order', await print1.caller.callService(program, service, '/print', order, place))
  printCall(print, 'print order, at most once', print1.entry, printed.trailer, undefined, printed.totalMs)

  const again = next()
  const repeated = need('print order again', await again.caller.callService(program, service, '/print', order, place))
  printCall(print, `the same key again, ${repeated.trailer.repeated ? 'answered from the history' : 'RUN TWICE'}`, again.entry, repeated.trailer, undefined, repeated.totalMs)
  if (!repeated.trailer.repeated) throw new Error('the print order ran twice')

  const summary = next()
  const summed = need('summary', await summary.caller.complete(program, { model, messages: [{ role: 'user', content: 'Summarise the order.' }], maxTokens: 64 }, { key: 'summary', seq: 3 }))
  printCall(print, 'summary, streamed', summary.entry, summed.trailer, summed.firstTextMs, summed.totalMs)

  const end = next()
  const finished = need('finish', await end.caller.finish(program))
  print(`finished via entry ${end.entry + 1}: ${finished.turns} turns, ${finished.spent.tokens} tokens, ${finished.spent.microCost / 1_000_000} spent`)

  const read = next()
  const { history } = need('history', await read.caller.readHistory(program))
  printHistory(print, history)
  const order1 = history.map((turn) => `${turn.branch}/${turn.seq}`).join(' ')
  if (order1 !== 'main/1 stock-check/1 main/2 main/3') throw new Error(`the history is not whole and in order: ${order1}`)
}
