'use strict'
/** A client: sends attempts at turns and calls, each on a new connection, and retries as the protocol page describes. */
const http = require('node:http')
const { randomBytes } = require('node:crypto')
const { sleep } = require('./engine.cjs')

const connectMs = 1_000
const streamGapMs = 2_000

function newId () {
  return randomBytes(8).toString('hex')
}

/**
 * Sends one attempt and resolves when it has ended: with the status (undefined without an answer), whether the answer
 * is complete, its events, and the time it took. The client leaves at its deadline; a stream also after a gap of 2 s.
 */
function sendAttempt ({ address, method = 'POST', host, path, headers = {}, body = '', deadlineMs, onEvent, gapMs = streamGapMs }) {
  const id = newId()
  const startedAt = Date.now()
  const bytes = Buffer.from(body)
  const [ip, port] = address.split(':')
  return new Promise((resolve) => {
    const result = { id, at: startedAt, address, path, status: undefined, isComplete: false, events: [], body: '', retryAfterMs: undefined, end: 'open', tookMs: 0 }
    let gapTimer
    let isOver = false
    const finish = (end) => {
      if (isOver) return
      isOver = true
      clearTimeout(deadlineTimer)
      clearTimeout(gapTimer)
      clearTimeout(connectTimer)
      req.destroy()
      resolve(Object.assign(result, { end, tookMs: Date.now() - startedAt }))
    }
    const restartGap = () => {
      clearTimeout(gapTimer)
      if (gapMs !== Infinity) gapTimer = setTimeout(() => { finish('client left after a gap') }, gapMs)
    }
    const req = http.request({ agent: false, host: ip, port: Number(port), method, path, headers: { Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, ...(bytes.length > 0 ? { 'Content-Length': bytes.length } : {}), ...headers } })
    const deadlineTimer = setTimeout(() => { finish('client left at its deadline') }, deadlineMs)
    const connectTimer = setTimeout(() => { finish('no connection') }, connectMs)
    req.on('socket', (socket) => { socket.once('connect', () => { clearTimeout(connectTimer) }) })
    req.on('error', (err) => { finish(result.status === undefined ? `connection failed: ${err.code}` : 'cut in the answer') })
    req.on('response', (res) => {
      result.status = res.statusCode
      result.signature = res.headers['x-response-signature']
      if (res.headers['retry-after'] !== undefined) result.retryAfterMs = Number(res.headers['retry-after']) * 1_000
      res.setEncoding('utf8')
      res.on('data', (text) => {
        restartGap()
        result.body += text
        result.events = result.body.split('\n').filter((line) => line.startsWith('data: ')).map((line) => line.slice(6))
        onEvent?.(result)
      })
      res.on('error', () => { finish('cut in the answer') })
      res.on('end', () => {
        result.isComplete = res.complete
        finish(res.complete ? 'complete' : 'cut in the answer')
      })
    })
    restartGap()
    req.end(bytes)
  })
}

/** Repeats attempts that were refused with 503, after the time that the answer names, until one ends otherwise or the tries are used up. */
async function sendWithRetries (createAttempt, tries, onAttempt) {
  let result
  for (let attempt = 0; attempt < tries; attempt += 1) {
    result = await sendAttempt(createAttempt(attempt))
    onAttempt(result)
    if (result.status !== 503 && result.status !== undefined) return result
    await sleep(result.retryAfterMs ?? 100)
  }
  return result
}

module.exports = { sendAttempt, sendWithRetries, newId }
