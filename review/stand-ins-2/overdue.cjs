'use strict'
/** Ordinary programs beside a disruption, and the rule on requests that last longer than the timeout of their route. */
const { Clients, countServed, describeAnswer } = require('./site.cjs')
const { sleep } = require('./client.cjs')

const timeoutMs = 3000
/** Rule CONFIG: no final answer this long after the route's timeout, in ms. */
const slackMs = 500
/** Such requests that break the rule, if they are over a quarter of those that last longer than the timeout. */
const minUnanswered = 8
const maxShare = 0.25
/** With these pauses, clients leave a stream after eight times as long without an event: later than the rule looks. */
const routeFields = { timeout_ms: timeoutMs, target_gap_ms: 500 }
/** These clients do not send a failed turn again from its start. */
const clientOptions = { deadlineMs: 6000, waitMs: 6000, gapMs: 4000, starts: 1 }
const smallBody = 'x'.repeat(400)

/** Starts `count` programs and resolves once each has had a turn. */
async function beginPrograms (site, record, count) {
  const clients = new Clients(site, { ...clientOptions, onAnswer: (answer) => { if (!answer.isServed) record.line(describeAnswer(answer)) } })
  const first = await Promise.all(Array.from({ length: count }, (_, index) => clients.runTurn(`p${index}`, undefined, smallBody)))
  const begun = first.filter((id) => id !== undefined).length
  record.line(`${begun} of ${count} programs have had their first turn`)
  if (begun < count) throw new Error('not every program has begun')
  return { clients, first }
}

/** The programs go on for `playMs`; resolves with how many did so to the end. */
async function goOn ({ clients, first }, playMs) {
  const endAt = Date.now() + playMs
  const runs = first.map(async (id, index) => {
    let previous = id
    while (previous !== undefined && Date.now() < endAt) {
      await sleep(500 + Math.random() * 1000)
      previous = await clients.runTurn(`p${index}`, previous, smallBody)
    }
    return previous !== undefined
  })
  return (await Promise.all(runs)).filter(Boolean).length
}

/** Judges the answers of all attempts from the index `from` on. */
function judgeOverdue ({ answers }, from, record) {
  const judged = answers.slice(from)
  const long = judged.filter(({ tookMs }) => tookMs > timeoutMs)
  const unanswered = long.filter(({ tookMs, end }) => end === 'left' && tookMs > timeoutMs + slackMs)
  record.line(`${judged.length} attempts, ${countServed(judged)} served; ${long.length} lasted beyond the timeout of ${timeoutMs} ms, ${unanswered.length} of them had no final answer ${slackMs} ms after it`)
  return { isBroken: unanswered.length >= minUnanswered && unanswered.length > long.length * maxShare, text: `${unanswered.length} of ${long.length} requests beyond their timeout had no final answer` }
}

module.exports = { routeFields, smallBody, beginPrograms, goOn, judgeOverdue }
